package org.marigoldturn.admission;

/**
 * Work of one team in one pool at this daemon.
 *
 * @param running requests that hold rights, including those with an unknown outcome
 * @param queued requests that wait
 */
public record TeamDemandSnapshot(int running, int queued) {}
