package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.marigoldturn.hashing.RendezvousHash;

/**
 * Gives or reserves rights of several holdings, such as the hosts of a pool, so that none of them
 * is exhausted before the others. Not thread safe; belongs to the control thread.
 */
final class EvenTransfer {
    private final List<Holding> mHoldings;
    private final TotalsOutbox mOutbox;

    EvenTransfer(List<Holding> holdings, TotalsOutbox outbox) {
        mHoldings = holdings;
        mOutbox = outbox;
    }

    /** Gives all free rights of one holding to the takers, in equal parts. */
    static void giveAll(Holding holding, List<String> takers, TotalsOutbox outbox) {
        String first = RendezvousHash.owner(holding.resource(), takers).orElseThrow();
        int offset = takers.indexOf(first);
        int part = ceilingDivide(Math.max(1, holding.givable()), takers.size());
        for (int i = 0; i < takers.size(); i++) {
            String taker = takers.get((offset + i) % takers.size());
            if (holding.give(taker, part) > 0) {
                outbox.add(holding, taker);
            }
        }
    }

    /** Gives from the holding with the most free rights first; returns the count not given. */
    int give(String taker, int count) {
        int rest = count;
        while (rest > 0) {
            Holding fullest = largest(Holding::givable);
            if (fullest == null) {
                return rest;
            }
            int given = fullest.give(taker, mHoldings.size() == 1 ? rest : 1);
            rest -= given;
            if (given > 0) {
                mOutbox.add(fullest, taker);
            }
        }
        return rest;
    }

    /** Promises rights in use, of the busiest holding first; returns the holdings concerned. */
    Set<Holding> reserve(String taker, int count, long expiresAtMillis) {
        Map<Holding, Integer> counts = new HashMap<>();
        int rest = count;
        while (rest > 0) {
            Holding busiest = largest(h -> h.reservable() - counts.getOrDefault(h, 0));
            if (busiest == null) {
                break;
            }
            int open = busiest.reservable() - counts.getOrDefault(busiest, 0);
            int step = mHoldings.size() == 1 ? Math.min(rest, open) : 1;
            counts.merge(busiest, step, Integer::sum);
            rest -= step;
        }
        counts.forEach((holding, reserved) -> holding.reserve(taker, reserved, expiresAtMillis));
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
