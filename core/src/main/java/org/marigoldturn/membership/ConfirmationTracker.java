package org.marigoldturn.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * Decides whether the held version is known to be the latest, so that this daemon may start work.
 *
 * <p>A confirmation proves that no version newer than the held one had been accepted when its
 * request was sent, and that none can be accepted without an acknowledgement of this daemon before
 * the confirmation expires. A confirmation of an older version therefore stays valid after the
 * daemon has adopted a newer one. A daemon that is not a member never serves, since acceptance does
 * not wait for it.
 *
 * <p>Updated by the control thread; {@link #mayServe} is safe on any thread.
 */
public final class ConfirmationTracker implements ServingGate {
    /**
     * Time since the sending of its request after which a confirmation no longer permits new work.
     */
    public static final long CONFIRMATION_VALIDITY_MILLIS = 2_000;

    private static final long VALIDITY_NANOS =
            TimeUnit.MILLISECONDS.toNanos(CONFIRMATION_VALIDITY_MILLIS);

    private final String mSelfId;
    private final PeerVersions mPeerVersions;
    private MemberSet mMembers = MemberSet.EMPTY;
    private boolean mStopped;
    private volatile Snapshot mSnapshot = new Snapshot(0, false, false, 0);

    /** Immutable snapshot that the request path reads; replaced as a whole. */
    private record Snapshot(
            long version, boolean mayStart, boolean confirmed, long confirmedAtNanos) {
        boolean isValid(long nowNanos) {
            return mayStart && confirmed && nowNanos - confirmedAtNanos < VALIDITY_NANOS;
        }
    }

    /** Creates a tracker without a version; it permits nothing. */
    public ConfirmationTracker(String selfId, PeerVersions peerVersions) {
        mSelfId = selfId;
        mPeerVersions = peerVersions;
    }

    /**
     * Adopts a newer version.
     *
     * <p>The request path must already see the new state, and the version must not be reported to
     * other daemons before this call returns.
     *
     * @throws IllegalArgumentException if the version is older than the held one
     */
    public void adopt(long version, MemberSet members) {
        Snapshot old = mSnapshot;
        if (version < old.version()) {
            throw new IllegalArgumentException(
                    "version "
                            + version
                            + " is older than the held version "
                            + old.version()
                            + "; a daemon never returns to an older version");
        }
        mMembers = members;
        publish(version, old.confirmed(), old.confirmedAtNanos());
    }

    /**
     * Records a confirmation by a successful conditional write to the store.
     *
     * @param version version whose manifest revision was compared
     * @param sentNanos monotonic time before the transaction was sent
     */
    public void onStoreConfirmation(long version, long sentNanos) {
        if (version <= mSnapshot.version() && mMembers.find(mSelfId).isPresent()) {
            confirm(sentNanos);
        }
    }

    /**
     * Records a confirmation by peers if a majority has replied and no member has reported a newer
     * version.
     *
     * <p>Called after each reply and at each tick. The confirmation dates from the sending of the
     * oldest ping whose reply the majority needs.
     */
    public void evaluatePeers(long nowNanos) {
        boolean newerKnown = mPeerVersions.newest(mMembers) > mSnapshot.version();
        if (newerKnown || mMembers.find(mSelfId).isEmpty()) {
            return;
        }
        int repliesNeeded = mMembers.majority() - 1;
        if (repliesNeeded == 0) {
            confirm(nowNanos);
            return;
        }
        List<Long> agesNanos = replyAgesNanos(nowNanos);
        if (agesNanos.size() >= repliesNeeded) {
            confirm(nowNanos - agesNanos.get(repliesNeeded - 1));
        }
    }

    /** Permanently forbids new work, for a graceful shutdown. */
    public void stop() {
        mStopped = true;
        Snapshot old = mSnapshot;
        publish(old.version(), old.confirmed(), old.confirmedAtNanos());
    }

    /**
     * Discards the current confirmation. Intended for a pause that the monotonic clock does not
     * count, such as that of a suspended virtual machine; nothing calls it at present.
     */
    public void expire() {
        publish(mSnapshot.version(), false, 0);
    }

    @Override
    public boolean mayServe(long nowNanos) {
        return mSnapshot.isValid(nowNanos);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A version newer than the held one is one that is being adopted, so it is permitted.
     */
    @Override
    public boolean mayServe(long version, long nowNanos) {
        Snapshot snapshot = mSnapshot;
        return version >= snapshot.version() && snapshot.isValid(nowNanos);
    }

    /** Returns the held version. */
    public long heldVersion() {
        return mSnapshot.version();
    }

    private List<Long> replyAgesNanos(long nowNanos) {
        List<Long> ages = new ArrayList<>();
        for (Member member : mMembers.members()) {
            if (!member.id().equals(mSelfId)) {
                mPeerVersions
                        .replySentNanos(member.id())
                        .ifPresent(sentNanos -> ages.add(nowNanos - sentNanos));
            }
        }
        Collections.sort(ages);
        return ages;
    }

    private void confirm(long sentNanos) {
        Snapshot old = mSnapshot;
        if (!old.confirmed() || sentNanos - old.confirmedAtNanos() > 0) {
            publish(old.version(), true, sentNanos);
        }
    }

    private void publish(long version, boolean confirmed, long confirmedAtNanos) {
        boolean mayStart = !mStopped && mMembers.find(mSelfId).isPresent();
        mSnapshot = new Snapshot(version, mayStart, confirmed, confirmedAtNanos);
    }
}
