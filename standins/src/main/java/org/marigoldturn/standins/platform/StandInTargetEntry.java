package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a target states of itself in its entry of the store. Immutable.
 *
 * @param kind label of the kind of its host
 * @param bornMillis Unix time at which the present incarnation has started
 */
record StandInTargetEntry(
        String id, String service, String hostId, String kind, String address, long bornMillis) {

    /** Creates the entry of a target that has not started. */
    static StandInTargetEntry of(String id, String service, String hostId, String kind) {
        return new StandInTargetEntry(id, service, hostId, kind, "", 0);
    }

    StandInTargetEntry withKind(String newKind) {
        return new StandInTargetEntry(id, service, hostId, newKind, address, bornMillis);
    }

    StandInTargetEntry withAddress(String newAddress) {
        return new StandInTargetEntry(id, service, hostId, kind, newAddress, bornMillis);
    }

    StandInTargetEntry withBorn(long newBornMillis) {
        return new StandInTargetEntry(id, service, hostId, kind, address, newBornMillis);
    }

    /** Returns the text for the store. */
    String text(String state) {
        ObjectNode entry = StandInHttp.object();
        entry.put("Service", service)
                .put("Address", address)
                .put("Zone", "z1")
                .put("State", state)
                .put("Machine", hostId)
                .put("born", bornMillis);
        entry.putObject("Capacity").put("Cpu", 8_000).put("MemMb", 16_000).put("Gpu", 0);
        entry.putArray("Labels").add(kind).add("r1");
        return entry.toString();
    }
}
