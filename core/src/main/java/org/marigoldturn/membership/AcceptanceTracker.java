package org.marigoldturn.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * Determines when a committed version is in force on all daemons.
 *
 * <p>A version is accepted when this daemon holds it, a majority of the members has acknowledged
 * it, and either all members have acknowledged it or no member can still have a valid confirmation
 * of an older version. A member that has ended by conclusive evidence counts as having acknowledged
 * it.
 *
 * <p>A member can be removed although its process still runs, because refused connections are not
 * conclusive and the statement of an operator can be wrong. It then serves until its confirmation
 * expires, but its acknowledgement is no longer required. After a removal, the acknowledgement of
 * all members therefore counts only once a majority has held the removal for {@link
 * #ACCEPTANCE_WAIT_MILLIS}.
 *
 * <p>Confined to the control thread, except for {@link #awaitAccepted}, which any thread may call:
 * it runs its work on the control thread.
 */
public final class AcceptanceTracker implements ChangeAcceptance {
    /**
     * Exceeds the validity of a confirmation by 25%, to allow for clocks that run at different
     * rates.
     */
    public static final long ACCEPTANCE_WAIT_MILLIS = 2_500;

    private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(ACCEPTANCE_WAIT_MILLIS);

    private final String mSelfId;
    private final PeerVersions mPeerVersions;
    private final EndedMembers mEnded;
    private final Executor mControl;
    private final LongSupplier mNanoClock;
    private final List<Waiter> mWaiters = new ArrayList<>();
    private long mVersion;
    private MemberSet mMembers = MemberSet.EMPTY;
    private MajorityTimer mRemovalTimer = new MajorityTimer(0);

    /** Measures the time since a majority was first seen to hold a version. */
    private static final class MajorityTimer {
        private final long mVersion;
        private boolean mStarted;
        private long mStartNanos;

        MajorityTimer(long version) {
            mVersion = version;
        }

        void update(boolean majority, long nowNanos) {
            if (majority && !mStarted) {
                mStarted = true;
                mStartNanos = nowNanos;
            }
        }

        boolean hasElapsed(long nowNanos) {
            return mStarted && nowNanos - mStartNanos >= WAIT_NANOS;
        }
    }

    /** One change that waits for acceptance. */
    private record Waiter(
            MajorityTimer majority,
            long startNanos,
            long timeoutNanos,
            CompletableFuture<AcceptanceResult> result) {
        long version() {
            return majority.mVersion;
        }
    }

    /**
     * Creates a tracker without a version.
     *
     * @param control executor of the control thread
     * @param nanoClock monotonic clock that the control thread uses
     */
    public AcceptanceTracker(
            String selfId,
            PeerVersions peerVersions,
            EndedMembers ended,
            Executor control,
            LongSupplier nanoClock) {
        mSelfId = selfId;
        mPeerVersions = peerVersions;
        mEnded = ended;
        mControl = control;
        mNanoClock = nanoClock;
    }

    /** Adopts a newer version; the daemon must already make its decisions by it. */
    public void adopt(long version, MemberSet members) {
        if (version <= mVersion) {
            return;
        }
        // A skipped version may have added a member that a later version removed.
        boolean removal = version > mVersion + 1 || !containsAll(members, mMembers);
        if (removal) {
            mRemovalTimer = new MajorityTimer(version);
        }
        mVersion = version;
        mMembers = members;
    }

    /**
     * Completes the waits whose version is accepted or whose timeout has passed; called after each
     * report of a peer and at each tick.
     */
    public void evaluate(long nowNanos) {
        mRemovalTimer.update(hasMajority(missing(mRemovalTimer.mVersion)), nowNanos);
        mWaiters.removeIf(waiter -> completeIfDone(waiter, nowNanos));
    }

    /**
     * {@inheritDoc}
     *
     * <p>The version must be committed.
     */
    @Override
    public CompletableFuture<AcceptanceResult> awaitAccepted(long version, long timeoutMillis) {
        CompletableFuture<AcceptanceResult> result = new CompletableFuture<>();
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        mControl.execute(
                () -> {
                    long nowNanos = mNanoClock.getAsLong();
                    mWaiters.add(
                            new Waiter(new MajorityTimer(version), nowNanos, timeoutNanos, result));
                    evaluate(nowNanos);
                });
        return result;
    }

    private boolean completeIfDone(Waiter waiter, long nowNanos) {
        List<String> missing = missing(waiter.version());
        if (isAccepted(waiter, missing, nowNanos)) {
            waiter.result().complete(new AcceptanceResult(true, missing));
        } else if (nowNanos - waiter.startNanos() >= waiter.timeoutNanos()) {
            waiter.result().complete(new AcceptanceResult(false, missing));
        }
        return waiter.result().isDone();
    }

    private boolean isAccepted(Waiter waiter, List<String> missing, long nowNanos) {
        // The members whose acknowledgement counts are known only from this version or a newer one.
        if (mVersion < waiter.version()) {
            return false;
        }
        waiter.majority().update(hasMajority(missing), nowNanos);
        boolean acknowledgedByAll = missing.isEmpty() && mRemovalTimer.hasElapsed(nowNanos);
        return acknowledgedByAll || waiter.majority().hasElapsed(nowNanos);
    }

    private boolean hasMajority(List<String> missing) {
        return mMembers.members().size() - missing.size() >= mMembers.majority();
    }

    private static boolean containsAll(MemberSet members, MemberSet expected) {
        return expected.members().stream().allMatch(m -> members.find(m.id()).isPresent());
    }

    private List<String> missing(long version) {
        return mMembers.members().stream()
                .map(Member::id)
                .filter(id -> !hasAcknowledged(id, version))
                .toList();
    }

    private boolean hasAcknowledged(String memberId, long version) {
        if (memberId.equals(mSelfId)) {
            return mVersion >= version;
        }
        return mPeerVersions.holds(memberId, version) || mEnded.isConclusive(memberId);
    }
}
