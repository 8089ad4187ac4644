package org.marigoldturn.coordination;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Tells which targets one owner has not read yet, and logs when it has read all of them. A target
 * counts as read once it has reported and its record is stored. Confined to the control thread.
 */
final class UnreadTargets {
    /** Ids of unread targets in one log line. */
    private static final int MAX_LOGGED_IDS = 5;

    private final long mTerm;
    private final Supplier<Collection<TargetState>> mTargets;
    private boolean mAwaited;

    UnreadTargets(long term, Supplier<Collection<TargetState>> targets) {
        mTerm = term;
        mTargets = targets;
    }

    boolean isEmpty() {
        return unread().isEmpty();
    }

    /** Logs that the owner serves, and which targets it has not read then. */
    void logServing() {
        List<TargetState> unread = unread();
        mAwaited = !unread.isEmpty();
        Logger.info(
                "owner: event=serving term={} targets={} unread={} unreadIds={}",
                mTerm,
                mTargets.get().size(),
                unread.size(),
                ids(unread));
    }

    /** Logs once that the last of the targets that were unread when the owner served was read. */
    void logIfAllRead() {
        if (mAwaited && isEmpty()) {
            mAwaited = false;
            Logger.info(
                    "owner: event=all-targets-read term={} targets={}",
                    mTerm,
                    mTargets.get().size());
        }
    }

    private List<TargetState> unread() {
        return mTargets.get().stream()
                .filter(target -> !target.hasReported() || !target.isRecorded())
                .toList();
    }

    private static String ids(List<TargetState> targets) {
        return targets.stream()
                .limit(MAX_LOGGED_IDS)
                .map(target -> target.entry().id())
                .collect(
                        Collectors.joining(",", "", targets.size() > MAX_LOGGED_IDS ? ",..." : ""));
    }
}
