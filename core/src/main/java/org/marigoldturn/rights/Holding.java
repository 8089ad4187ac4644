package org.marigoldturn.rights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.marigoldturn.peer.wire.FrozenResource;

/**
 * The rights of one resource that this daemon holds in the current epoch.
 *
 * <p>Invariant: {@code held = basis + received - sent}, and the allowance of the counter is at most
 * {@code floor((held - reserved) * limit / minted)}. {@link #permits} may be used by any thread,
 * everything else only by the control thread.
 */
final class Holding {
    private record Reservation(int count, long expiresAtMillis) {}

    private final String mResource;
    private final PermitCounter mPermits = new PermitCounter();
    private final Map<String, Long> mSent = new TreeMap<>();
    private final Map<String, Long> mAcknowledged = new HashMap<>();
    private final Map<String, Long> mReceived = new TreeMap<>();

    /** Rights in use that go to a taker as soon as they are free. */
    private final Map<String, Reservation> mReservations = new TreeMap<>();

    private long mEpoch = -1;
    private int mBasis;
    private int mMinted;
    private int mLimit;
    private boolean mClosed;

    Holding(String resource) {
        mResource = resource;
    }

    String resource() {
        return mResource;
    }

    PermitCounter permits() {
        return mPermits;
    }

    long epoch() {
        return mEpoch;
    }

    /** Enters a new epoch with an empty transfer record. */
    void startEpoch(long epoch) {
        mEpoch = epoch;
        mSent.clear();
        mAcknowledged.clear();
        mReceived.clear();
        mReservations.clear();
    }

    void configure(int basis, int minted, int limit) {
        mBasis = basis;
        mMinted = minted;
        mLimit = limit;
        updateAllowance();
    }

    /** Stops all further starts for good. */
    void close() {
        mClosed = true;
        updateAllowance();
    }

    long held() {
        return mBasis + sum(mReceived) - sum(mSent);
    }

    /** Returns how many requests may run on the rights held, including promised ones. */
    int allowance() {
        return allowance(held());
    }

    int running() {
        return mPermits.running();
    }

    /** Returns how many rights could be given away now, including fractions lost to rounding. */
    int givable() {
        if (!mClosed && mLimit > 0 && mMinted > 0) {
            long needed = ceilingDivide((long) running() * mMinted, effectiveLimit());
            return (int) Math.max(0, held() - needed);
        }
        return running() == 0 ? (int) Math.max(0, held()) : 0;
    }

    /** Returns held rights that are neither free nor reserved. */
    int reservable() {
        return (int) Math.max(0, held() - givable() - reserved());
    }

    /** Gives up to {@code count} free rights to the taker; returns how many. */
    int give(String taker, int count) {
        while (true) {
            int given = Math.min(count, givable());
            if (given <= 0) {
                return 0;
            }
            // The counter is lowered first, so no request can start on a right that is sent.
            if (mPermits.tryLower(allowance(held() - given))) {
                mSent.merge(taker, (long) given, Long::sum);
                updateAllowance();
                return given;
            }
        }
    }

    void reserve(String taker, int count, long expiresAtMillis) {
        mReservations.put(taker, new Reservation(count, expiresAtMillis));
        updateAllowance();
    }

    void cancelReservation(String taker) {
        if (mReservations.remove(taker) != null) {
            updateAllowance();
        }
    }

    void cancelReservations(Predicate<String> takers) {
        if (mReservations.keySet().removeIf(takers)) {
            updateAllowance();
        }
    }

    boolean hasReservations() {
        return !mReservations.isEmpty();
    }

    /** Gives rights that have become free to their takers; returns the takers. */
    List<String> serveReservations(long nowMillis) {
        List<String> takers = new ArrayList<>();
        for (Map.Entry<String, Reservation> entry : List.copyOf(mReservations.entrySet())) {
            Reservation reservation = entry.getValue();
            int given = give(entry.getKey(), reservation.count());
            if (given > 0) {
                takers.add(entry.getKey());
            }
            int rest = reservation.count() - given;
            if (rest == 0 || reservation.expiresAtMillis() <= nowMillis) {
                mReservations.remove(entry.getKey());
            } else {
                mReservations.put(
                        entry.getKey(), new Reservation(rest, reservation.expiresAtMillis()));
            }
        }
        updateAllowance();
        return takers;
    }

    void receive(String giver, long total) {
        mReceived.merge(giver, total, Math::max);
        updateAllowance();
    }

    long receivedFrom(String giver) {
        return mReceived.getOrDefault(giver, 0L);
    }

    long sentTo(String taker) {
        return mSent.getOrDefault(taker, 0L);
    }

    void acknowledge(String taker, long total) {
        mAcknowledged.merge(taker, total, Math::max);
    }

    /** Returns the takers that have not acknowledged the current total. */
    Set<String> unacknowledgedTakers() {
        Set<String> takers = new HashSet<>();
        mSent.forEach(
                (taker, total) -> {
                    if (mAcknowledged.getOrDefault(taker, 0L) < total) {
                        takers.add(taker);
                    }
                });
        return takers;
    }

    FrozenResource freezeRecord() {
        return FrozenResource.newBuilder()
                .setResource(mResource)
                .setEpoch(mEpoch)
                .putAllSent(mSent)
                .putAllReceived(mReceived)
                .setRunning(running())
                .build();
    }

    private int reserved() {
        return mReservations.values().stream().mapToInt(Reservation::count).sum();
    }

    private void updateAllowance() {
        mPermits.setAllowance(allowance(held() - reserved()));
    }

    private int allowance(long held) {
        if (mClosed || mMinted <= 0 || held <= 0) {
            return 0;
        }
        long scaled = held * effectiveLimit() / mMinted;
        // A daemon may receive rights that were minted in a version it does not hold yet.
        return (int) Math.min(scaled, mLimit);
    }

    private long effectiveLimit() {
        return Math.min(mLimit, mMinted);
    }

    private static long ceilingDivide(long dividend, long divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private static long sum(Map<String, Long> totals) {
        long sum = 0;
        for (long total : totals.values()) {
            sum += total;
        }
        return sum;
    }
}
