package org.marigoldturn.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Start options of the transport between entry daemons.
 *
 * @param memberId id of this daemon
 * @param token secret that all daemons share
 * @param listenAddress address of the listening port; port 0 takes a free one
 */
public record PeerOptions(String memberId, String token, InetSocketAddress listenAddress) {
    public PeerOptions {
        Objects.requireNonNull(listenAddress, "listenAddress");
        if (memberId.isEmpty()) {
            throw new IllegalArgumentException("the member id is empty; it must name this daemon");
        }
        if (token.isEmpty()) {
            throw new IllegalArgumentException(
                    "the peer token is empty; it must be the secret that all daemons share");
        }
    }

    /** Omits the token, which must not appear in logs. */
    @Override
    public String toString() {
        return "PeerOptions[memberId=" + memberId + ", listenAddress=" + listenAddress + "]";
    }
}
