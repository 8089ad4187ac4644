package org.marigoldturn.settings;

/**
 * An entry daemon that takes part in majority decisions.
 *
 * @param id name with a random incarnation; never reused
 * @param zone availability zone of the daemon
 * @param address IP address of its ports
 * @param peerPort port for messages from other daemons
 * @param operatorPort port for operators
 * @param joinedAtMillis wall-clock time at which the daemon joined
 */
public record Member(
        String id,
        String zone,
        String address,
        int peerPort,
        int operatorPort,
        long joinedAtMillis) {}
