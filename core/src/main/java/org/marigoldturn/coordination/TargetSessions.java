package org.marigoldturn.coordination;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Holds the target sessions of one owner, one for each incarnation of a target.
 *
 * <p>After a takeover all targets are to be read at once. Few first polls are open at a time, so
 * that the renewals of the owner's own lease and of the leases of targets that were read do not
 * wait behind hundreds of new connections. Confined to the control thread.
 */
final class TargetSessions {
    /**
     * First polls that are open at a time; enough to keep the process busy, since each takes one
     * round trip and the opening of a connection.
     */
    static final int MAX_FIRST_POLLS = 16;

    private final OwnerContext mContext;
    private final LongUnaryOperator mLeaseEnd;
    private final TargetSession.Callbacks mCallbacks;
    private final Map<TargetState, TargetSession> mSessions = new HashMap<>();
    private final Set<TargetState> mGivenUp = new HashSet<>();
    private final Deque<TargetSession> mUnstarted = new ArrayDeque<>();
    private int mOpenFirstPolls;

    /**
     * Creates the sessions of one owner.
     *
     * @param leaseEnd returns the monotonic time at which a lease ends that is granted at a
     *     monotonic time; none can be granted if it is not later
     */
    TargetSessions(
            OwnerContext context, LongUnaryOperator leaseEnd, TargetSession.Callbacks callbacks) {
        mContext = context;
        mLeaseEnd = leaseEnd;
        mCallbacks = callbacks;
    }

    /**
     * Opens a session unless there is one; closes a session with an earlier incarnation of the
     * target.
     */
    void open(TargetState target) {
        if (mSessions.containsKey(target) || mGivenUp.contains(target)) {
            return;
        }
        mSessions.values().stream()
                .filter(earlier -> earlier.target().entry().id().equals(target.entry().id()))
                .forEach(TargetSession::logOpenCall);
        closeIf(old -> old.entry().id().equals(target.entry().id()));
        TargetSession session =
                new TargetSession(
                        target,
                        mContext.targets(),
                        mContext.control(),
                        mContext.clocks(),
                        mContext.term(),
                        mLeaseEnd,
                        Math.max(
                                TargetLeases.LONGEST_UNBOUNDED_MILLIS,
                                TargetLeases.longestMillis(mContext.limits().leaseMillis())),
                        mCallbacks);
        mSessions.put(target, session);
        Logger.info(
                "target: event=found target={} service={} zone={} rack={} host={} born={}",
                target.entry().id(),
                target.entry().service(),
                target.entry().zone(),
                target.entry().rack(),
                target.entry().hostId(),
                target.entry().startedEpochMillis());
        mUnstarted.add(session);
        startNext();
    }

    private void startNext() {
        while (mOpenFirstPolls < MAX_FIRST_POLLS && !mUnstarted.isEmpty()) {
            TargetSession session = mUnstarted.remove();
            if (mSessions.get(session.target()) == session) {
                mOpenFirstPolls++;
                session.start(
                        () -> {
                            mOpenFirstPolls--;
                            startNext();
                        });
            }
        }
    }

    /**
     * Grants a lease from now on and returns its end on the target's clock; 0 if none can be
     * granted.
     */
    long grantLease(TargetState target, long nowMillis) {
        TargetSession session = mSessions.get(target);
        return session == null ? 0 : session.grantLease(nowMillis);
    }

    /** Returns the last known time of a target's clock; before all times if none is known. */
    long lastClockMillis(TargetState target) {
        TargetSession session = mSessions.get(target);
        return session == null ? Long.MIN_VALUE : session.lastClockMillis();
    }

    /** Closes the session with a target for good: it is granted no lease any more. */
    void giveUp(TargetState target) {
        mGivenUp.add(target);
        close(target);
    }

    void close(TargetState target) {
        closeIf(target::equals);
    }

    /** Closes the sessions of all targets but the given ones. */
    void retain(Collection<TargetState> targets) {
        Set<TargetState> known = new HashSet<>(targets);
        closeIf(target -> !known.contains(target));
    }

    void closeAll() {
        closeIf(target -> true);
    }

    private void closeIf(Predicate<TargetState> condition) {
        mSessions
                .entrySet()
                .removeIf(
                        session -> {
                            boolean matches = condition.test(session.getKey());
                            if (matches) {
                                session.getValue().close();
                            }
                            return matches;
                        });
    }
}
