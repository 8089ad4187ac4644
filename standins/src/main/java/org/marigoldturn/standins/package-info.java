/** Small stand-ins for the platform and for target hosts, used by tests and measurements. */
package org.marigoldturn.standins;
