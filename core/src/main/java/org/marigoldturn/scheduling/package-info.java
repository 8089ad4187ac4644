/** Decides which task runs on which target; independent of transports, clocks and threads. */
package org.marigoldturn.scheduling;
