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
 * <p>The basis is the number of rights that the division assigns to this daemon at the start of the
 * epoch; minted rights are those that exist at all daemons together. Reserved rights are in use and
 * are to go to a recipient after their requests end, by {@link #transferReserved}.
 *
 * <p>Invariant: {@code held = basis + received - sent}, and the allowance of the counter is at most
 * {@code floor((held - reserved) * limit / minted)}. {@link #permits} may be used by any thread,
 * everything else only by the control thread.
 */
final class Holding {
    private record Reservation(int count, long expiresAtMillis) {}

    private final String mResource;
    private final PermitCounter mPermits = new PermitCounter();

    /** Rights transferred in this epoch, by recipient. */
    private final Map<String, Long> mSent = new TreeMap<>();

    /** Highest total of {@link #mSent} that each recipient has acknowledged. */
    private final Map<String, Long> mAcknowledged = new HashMap<>();

    /** Rights received in this epoch, by source. */
    private final Map<String, Long> mReceived = new TreeMap<>();

    /** Reserved rights by recipient. */
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

    /** Starts an epoch: forgets the transfers and reservations of the previous one. */
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

    /** Permanently sets the allowance to zero, so that no further request starts. */
    void close() {
        mClosed = true;
        updateAllowance();
    }

    long held() {
        return mBasis + sum(mReceived) - sum(mSent);
    }

    /** Returns how many requests may run on the rights held, including reserved ones. */
    int allowance() {
        return allowance(held());
    }

    int running() {
        return mPermits.running();
    }

    /**
     * Returns how many rights could be transferred now: those that the running requests do not
     * need. With a limit below the minted rights, these include rights that rounding down makes
     * unusable at this daemon.
     */
    int transferable() {
        if (!mClosed && mLimit > 0 && mMinted > 0) {
            long needed = ceilingDivide((long) running() * mMinted, effectiveLimit());
            return (int) Math.max(0, held() - needed);
        }
        return running() == 0 ? (int) Math.max(0, held()) : 0;
    }

    /** Returns the number of held rights that are neither transferable nor reserved. */
    int reservable() {
        return (int) Math.max(0, held() - transferable() - reserved());
    }

    /** Transfers up to {@code count} rights to the recipient; returns how many. */
    int transfer(String recipient, int count) {
        while (true) {
            int transferred = Math.min(count, transferable());
            if (transferred <= 0) {
                return 0;
            }
            // The allowance is lowered first, so no request can start on a transferred right.
            if (mPermits.tryLower(allowance(held() - transferred))) {
                mSent.merge(recipient, (long) transferred, Long::sum);
                updateAllowance();
                return transferred;
            }
        }
    }

    void reserve(String recipient, int count, long expiresAtMillis) {
        mReservations.put(recipient, new Reservation(count, expiresAtMillis));
        updateAllowance();
    }

    void cancelReservation(String recipient) {
        if (mReservations.remove(recipient) != null) {
            updateAllowance();
        }
    }

    void cancelReservations(Predicate<String> recipients) {
        if (mReservations.keySet().removeIf(recipients)) {
            updateAllowance();
        }
    }

    boolean hasReservations() {
        return !mReservations.isEmpty();
    }

    /**
     * Transfers reserved rights that have become free, and drops expired reservations.
     *
     * @return the recipients of transferred rights
     */
    List<String> transferReserved(long nowMillis) {
        List<String> recipients = new ArrayList<>();
        for (Map.Entry<String, Reservation> entry : List.copyOf(mReservations.entrySet())) {
            Reservation reservation = entry.getValue();
            int transferred = transfer(entry.getKey(), reservation.count());
            if (transferred > 0) {
                recipients.add(entry.getKey());
            }
            int remaining = reservation.count() - transferred;
            if (remaining == 0 || reservation.expiresAtMillis() <= nowMillis) {
                mReservations.remove(entry.getKey());
            } else {
                mReservations.put(
                        entry.getKey(), new Reservation(remaining, reservation.expiresAtMillis()));
            }
        }
        updateAllowance();
        return recipients;
    }

    void receive(String source, long total) {
        mReceived.merge(source, total, Math::max);
        updateAllowance();
    }

    long receivedFrom(String source) {
        return mReceived.getOrDefault(source, 0L);
    }

    long sentTo(String recipient) {
        return mSent.getOrDefault(recipient, 0L);
    }

    void acknowledge(String recipient, long total) {
        mAcknowledged.merge(recipient, total, Math::max);
    }

    /** Returns the recipients that have not acknowledged the current total. */
    Set<String> unacknowledgedRecipients() {
        Set<String> recipients = new HashSet<>();
        mSent.forEach(
                (recipient, total) -> {
                    if (mAcknowledged.getOrDefault(recipient, 0L) < total) {
                        recipients.add(recipient);
                    }
                });
        return recipients;
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
        // The holding may exceed the minted rights known here: rights that were minted in a version
        // that this daemon has not adopted yet may arrive.
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
