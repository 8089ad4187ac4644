/** Port to the platform's key-value service and host list, with one adapter each. */
package org.marigoldturn.store;
