/** Wiring of one entry daemon and its control thread. */
package org.marigoldturn.daemon;
