package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.Set;
import java.util.TreeSet;

/**
 * The stored state of a maintenance wave, one host a line. Versions that recorded no open orders
 * pass over their lines. Immutable.
 *
 * @param begunHosts hosts on which maintenance has begun
 * @param orderedHosts hosts on which maintenance may begin without a response
 */
record MaintenanceRecord(Set<String> begunHosts, Set<String> orderedHosts) {
    private static final String ORDERED = "ordered\t";

    MaintenanceRecord {
        begunHosts = Set.copyOf(begunHosts);
        orderedHosts = Set.copyOf(orderedHosts);
    }

    ByteString encode() {
        Set<String> lines = new TreeSet<>(begunHosts);
        orderedHosts.forEach(host -> lines.add(ORDERED + host));
        return ByteString.copyFromUtf8(String.join("\n", lines));
    }

    static MaintenanceRecord decode(ByteString value) {
        Set<String> begun = new TreeSet<>();
        Set<String> ordered = new TreeSet<>();
        value.toStringUtf8()
                .lines()
                .forEach(
                        line -> {
                            if (line.startsWith(ORDERED)) {
                                ordered.add(line.substring(ORDERED.length()));
                            } else {
                                begun.add(line);
                            }
                        });
        return new MaintenanceRecord(begun, ordered);
    }
}
