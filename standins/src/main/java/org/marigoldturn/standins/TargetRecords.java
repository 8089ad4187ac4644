package org.marigoldturn.standins;

import java.util.ArrayList;
import java.util.List;

/** Records the requests that a target ran, in the order of their start. Thread safe. */
public final class TargetRecords {
    /** One request that the target ran; {@code endedAtMillis} is 0 while it runs. */
    public record Run(
            String requestId,
            String owner,
            String team,
            boolean idempotent,
            long startedAtMillis,
            long endedAtMillis) {
        boolean isRunning() {
            return endedAtMillis == 0;
        }
    }

    private final int mSlots;
    private final List<Run> mRuns = new ArrayList<>();
    private int mRunning;
    private int mRejected;

    TargetRecords(int slots) {
        mSlots = slots;
    }

    /** Records a start and returns its index, or -1 if no slot is free. */
    synchronized int begin(Run run) {
        if (mRunning >= mSlots) {
            mRejected++;
            return -1;
        }
        mRunning++;
        mRuns.add(run);
        return mRuns.size() - 1;
    }

    /** Records an end; further calls for the same index have no effect. */
    synchronized void end(int index, long nowMillis) {
        Run run = mRuns.get(index);
        if (run.isRunning()) {
            mRunning--;
            mRuns.set(
                    index,
                    new Run(
                            run.requestId(),
                            run.owner(),
                            run.team(),
                            run.idempotent(),
                            run.startedAtMillis(),
                            nowMillis));
        }
    }

    /** Returns all requests that were started so far. */
    public synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    /** Returns the requests that run now. */
    public synchronized List<Run> running() {
        return mRuns.stream().filter(Run::isRunning).toList();
    }

    /** Returns the number of requests that were rejected because all slots were in use. */
    public synchronized int rejectedCount() {
        return mRejected;
    }
}
