package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.marigoldturn.hashing.RendezvousHash;

/**
 * Transfers or reserves rights from several holdings, such as those of the hosts of a pool, evenly,
 * so that none of them is exhausted before the others. Not thread safe; used by the control thread
 * only.
 */
final class EvenTransfer {
    private final List<Holding> mHoldings;
    private final TotalsOutbox mOutbox;

    EvenTransfer(List<Holding> holdings, TotalsOutbox outbox) {
        mHoldings = holdings;
        mOutbox = outbox;
    }

    /**
     * Transfers all transferable rights of one holding to the recipients, in nearly equal parts.
     * Parts are rounded up, so the last recipients may get fewer rights or none.
     */
    static void transferAll(Holding holding, List<String> recipients, TotalsOutbox outbox) {
        String first = RendezvousHash.owner(holding.resource(), recipients).orElseThrow();
        int offset = recipients.indexOf(first);
        int part = ceilingDivide(Math.max(1, holding.transferable()), recipients.size());
        for (int i = 0; i < recipients.size(); i++) {
            String recipient = recipients.get((offset + i) % recipients.size());
            if (holding.transfer(recipient, part) > 0) {
                outbox.add(holding, recipient);
            }
        }
    }

    /**
     * Transfers rights, from the holding with the most transferable rights first.
     *
     * @return the number of rights that could not be transferred
     */
    int transfer(String recipient, int count) {
        int remaining = count;
        while (remaining > 0) {
            Holding largest = largest(Holding::transferable);
            if (largest == null) {
                return remaining;
            }
            int transferred = largest.transfer(recipient, mHoldings.size() == 1 ? remaining : 1);
            remaining -= transferred;
            if (transferred > 0) {
                mOutbox.add(largest, recipient);
            }
        }
        return remaining;
    }

    /**
     * Reserves rights in use, of the holding with the most reservable rights first.
     *
     * @return the holdings with new reservations
     */
    Set<Holding> reserve(String recipient, int count, long expiresAtMillis) {
        Map<Holding, Integer> counts = new HashMap<>();
        int remaining = count;
        while (remaining > 0) {
            Holding largest = largest(h -> h.reservable() - counts.getOrDefault(h, 0));
            if (largest == null) {
                break;
            }
            int reservable = largest.reservable() - counts.getOrDefault(largest, 0);
            int share = mHoldings.size() == 1 ? Math.min(remaining, reservable) : 1;
            counts.merge(largest, share, Integer::sum);
            remaining -= share;
        }
        counts.forEach(
                (holding, reserved) -> holding.reserve(recipient, reserved, expiresAtMillis));
        return counts.keySet();
    }

    private Holding largest(ToIntFunction<Holding> amount) {
        Holding best = null;
        int bestAmount = 0;
        for (Holding holding : mHoldings) {
            int current = amount.applyAsInt(holding);
            if (current > bestAmount) {
                best = holding;
                bestAmount = current;
            }
        }
        return best;
    }

    private static int ceilingDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}
