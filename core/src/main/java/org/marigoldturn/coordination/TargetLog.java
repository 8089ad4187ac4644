package org.marigoldturn.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Logs when starts on a target are paused, and when it is cordoned or no longer so, within a
 * budget. Compares the states of the targets at each tick; changes that are undone by the next one
 * are not seen. Confined to the control thread.
 */
final class TargetLog {
    /** Most lines in a second; further ones are left out and counted. */
    static final int LINES_PER_SECOND = 20;

    private final long mTerm;
    private final Supplier<Collection<TargetState>> mTargets;
    private final Consumer<String> mLines;
    private final LogBudget mBudget = new LogBudget(LINES_PER_SECOND);
    private Map<TargetState, Seen> mSeen = Map.of();

    /** The state of a target at the last tick. */
    private record Seen(long pausedUntilMillis, boolean cordoned) {}

    TargetLog(long term, Supplier<Collection<TargetState>> targets) {
        this(term, targets, line -> Logger.info(line));
    }

    /**
     * Creates the log of one owner.
     *
     * @param lines writes a line
     */
    TargetLog(long term, Supplier<Collection<TargetState>> targets, Consumer<String> lines) {
        mTerm = term;
        mTargets = targets;
        mLines = lines;
    }

    /** Writes a line for each change since the last call. */
    void tick(long nowMillis) {
        Map<TargetState, Seen> seen = new HashMap<>();
        for (TargetState target : mTargets.get()) {
            Seen before = mSeen.getOrDefault(target, new Seen(0, false));
            Seen now = new Seen(target.pausedUntilMillis(), target.isCordoned());
            seen.put(target, now);
            if (now.pausedUntilMillis() > before.pausedUntilMillis()) {
                long leftMillis = Math.max(0, now.pausedUntilMillis() - nowMillis);
                String detail = " leftMillis=" + leftMillis + " cause=" + target.pauseCause();
                log("paused", target, detail, nowMillis);
            }
            if (now.cordoned() != before.cordoned()) {
                log(now.cordoned() ? "cordoned" : "uncordoned", target, "", nowMillis);
            }
        }
        mSeen = seen;
        reportLeftOut(nowMillis);
    }

    /** Logs how many lines were left out since the last report. */
    void close(long nowMillis) {
        reportLeftOut(nowMillis + LogBudget.INTERVAL_MILLIS);
    }

    private void log(String event, TargetState target, String detail, long nowMillis) {
        reportLeftOut(nowMillis);
        if (mBudget.admit(nowMillis)) {
            mLines.accept(
                    "target: event="
                            + event
                            + " target="
                            + target.entry().id()
                            + " term="
                            + mTerm
                            + detail);
        }
    }

    private void reportLeftOut(long nowMillis) {
        long leftOut = mBudget.takeLeftOut(nowMillis);
        if (leftOut > 0) {
            mLines.accept(
                    "target: event=lines-left-out kind=target term=" + mTerm + " count=" + leftOut);
        }
    }
}
