/** Decides which task runs where; knows no transport, clock or thread. */
package org.marigoldturn.scheduling;
