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
 * <p>A confirmation says: when its request was sent, no newer version than the held one was
 * accepted, and none can be accepted without an acknowledgement of this daemon until the
 * confirmation has expired. Hence a confirmation of an older version stays valid after the daemon
 * has adopted a newer one. A daemon that is not a member never serves, since acceptance does not
 * wait for it.
 *
 * <p>Updated by the control thread; {@link #mayServe} is safe on any thread.
 */
public final class ConfirmationTracker implements ServingGate {
    /** Time from sending the request after which a confirmation no longer permits new work. */
    public static final long CONFIRMATION_VALIDITY_MILLIS = 2_000;

    private static final long VALIDITY_NANOS =
            TimeUnit.MILLISECONDS.toNanos(CONFIRMATION_VALIDITY_MILLIS);

    private final String mSelfId;
    private final PeerVersions mPeerVersions;
    private MemberSet mMembers = MemberSet.EMPTY;
    private boolean mStopped;
    private volatile Published mPublished = new Published(0, false, false, 0);

    /** What the request path sees, replaced as a whole. */
    private record Published(
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
     * Takes over a newer version.
     *
     * <p>The request path must already see the new state, and the version must not be reported to
     * other daemons before this call returns.
     *
     * @throws IllegalArgumentException if the version is older than the held one
     */
    public void adopt(long version, MemberSet members) {
        Published old = mPublished;
        if (version < old.version()) {
            throw new IllegalArgumentException(
                    "version " + version + " is older than the held version " + old.version());
        }
        mMembers = members;
        publish(version, old.confirmed(), old.confirmedAtNanos());
    }

    /**
     * Takes over a successful conditional write to the store.
     *
     * @param version version whose manifest revision was compared
     * @param sentNanos monotonic time before the transaction was sent
     */
    public void onStoreConfirmation(long version, long sentNanos) {
        if (version <= mPublished.version() && mMembers.find(mSelfId).isPresent()) {
            confirm(sentNanos);
        }
    }

    /**
     * Confirms by peers if a majority has replied and no member has reported a newer version.
     *
     * <p>Called after each reply and at each tick. The age is that of the oldest reply needed.
     */
    public void evaluatePeers(long nowNanos) {
        boolean newerKnown = mPeerVersions.newest(mMembers) > mPublished.version();
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

    /** Forbids new work for good, for a graceful shutdown. */
    public void stop() {
        mStopped = true;
        Published old = mPublished;
        publish(old.version(), old.confirmed(), old.confirmedAtNanos());
    }

    /**
     * Forgets the present confirmation, after the wall clock shows a pause that the monotonic clock
     * did not count (a suspended virtual machine).
     */
    public void expire() {
        publish(mPublished.version(), false, 0);
    }

    @Override
    public boolean mayServe(long nowNanos) {
        return mPublished.isValid(nowNanos);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A later version than the held one is one that is being adopted.
     */
    @Override
    public boolean mayServe(long version, long nowNanos) {
        Published published = mPublished;
        return version >= published.version() && published.isValid(nowNanos);
    }

    /** Returns the held version. */
    public long heldVersion() {
        return mPublished.version();
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
        Published old = mPublished;
        if (!old.confirmed() || sentNanos - old.confirmedAtNanos() > 0) {
            publish(old.version(), true, sentNanos);
        }
    }

    private void publish(long version, boolean confirmed, long confirmedAtNanos) {
        boolean mayStart = !mStopped && mMembers.find(mSelfId).isPresent();
        mPublished = new Published(version, mayStart, confirmed, confirmedAtNanos);
    }
}
