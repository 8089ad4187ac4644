package org.marigoldturn.coordination;

/**
 * Identifies one incarnation of a daemon. Immutable.
 *
 * @param host name of its host, the same for all incarnations
 * @param id unique id of this incarnation; begins with the host and a slash
 * @param zone its availability zone
 * @param address IP address at which peers reach it
 * @param peerPort port of the peer protocol
 * @param cores processing power of its host, in cores
 */
public record DaemonIdentity(
        String host, String id, String zone, String address, int peerPort, double cores) {}
