package org.marigoldturn.hashing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing (highest random weight): the owner of a key is the node for which the hash of
 * key and node is highest.
 *
 * <p>Removing a node changes the owner only of the keys that it owned. Stateless and thread safe.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the node that owns the key, or empty if there are no nodes. */
    public static Optional<String> owner(String key, Collection<String> nodes) {
        String best = null;
        long bestWeight = 0;
        for (String node : nodes) {
            long weight = weight(key, node);
            boolean isHigher =
                    best == null
                            || weight > bestWeight
                            || (weight == bestWeight && node.compareTo(best) > 0);
            if (isHigher) {
                best = node;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    private static long weight(String key, String node) {
        byte[] bytes = (key + '\u0000' + node).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
