package org.marigoldturn.rights;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marigoldturn.peer.wire.RightsTotal;
import org.marigoldturn.peer.wire.RightsTotals;

/**
 * Collects the totals to send, each resource once for a receiver. Not thread safe; used by the
 * control thread only.
 */
final class TotalsOutbox {
    private final Map<String, Set<Holding>> mByReceiver = new TreeMap<>();
    private final Map<String, Long> mLastSentAtMillis;
    private final long mNowMillis;

    /**
     * Creates an empty outbox.
     *
     * @param unacknowledged map of the ledger in which {@link #add} records the time of sending by
     *     resource
     */
    TotalsOutbox(Map<String, Long> unacknowledged, long nowMillis) {
        mLastSentAtMillis = unacknowledged;
        mNowMillis = nowMillis;
    }

    void add(Holding holding, String receiver) {
        mByReceiver.computeIfAbsent(receiver, name -> new HashSet<>()).add(holding);
        mLastSentAtMillis.put(holding.resource(), mNowMillis);
    }

    List<AddressedTotals> messages() {
        List<AddressedTotals> messages = new ArrayList<>();
        mByReceiver.forEach((receiver, holdings) -> messages.add(message(receiver, holdings)));
        return messages;
    }

    private static AddressedTotals message(String receiver, Set<Holding> holdings) {
        RightsTotals.Builder totals = RightsTotals.newBuilder();
        for (Holding holding : holdings) {
            totals.addTotals(
                    RightsTotal.newBuilder()
                            .setResource(holding.resource())
                            .setEpoch(holding.epoch())
                            .setTotal(holding.sentTo(receiver)));
        }
        return new AddressedTotals(receiver, totals.build());
    }
}
