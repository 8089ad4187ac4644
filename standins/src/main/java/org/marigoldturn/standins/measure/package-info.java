/** Measurements of the daemons, in virtual time and with processes. */
package org.marigoldturn.standins.measure;
