package org.marigoldturn.admission;

/**
 * Number of requests of one team in one pool at this daemon.
 *
 * @param running started requests, including those with an unknown outcome
 * @param queued requests that wait to start
 */
public record TeamRequestCounts(int running, int queued) {}
