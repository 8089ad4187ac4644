package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Ends of runs on one incarnation of a target, which are listed until a poll states that they have
 * been seen. Not thread safe.
 */
final class StandInEnds {
    private final String mTarget;
    private final StandInRuns mRuns;
    private final List<ArrayNode> mUnseen = new ArrayList<>();
    private long mLastNumber;
    private long mLastBeforeLapse;

    StandInEnds(String target, StandInRuns runs) {
        mTarget = target;
        mRuns = runs;
    }

    void add(String task, long runNumber, String outcome) {
        mUnseen.add(
                StandInHttp.JSON
                        .createArrayNode()
                        .add(++mLastNumber)
                        .add(task)
                        .add(runNumber)
                        .add(outcome)
                        .add(""));
    }

    /** Records that the target's lease has lapsed after all ends until now. */
    void onLapse() {
        mLastBeforeLapse = mLastNumber;
    }

    /** Removes the ends up to a number, which a poll has stated as seen. */
    void confirm(long lastSeen) {
        for (ArrayNode end : List.copyOf(mUnseen)) {
            if (end.path(0).asLong() <= lastSeen) {
                mUnseen.remove(end);
                if (end.path(3).asText().equals("done")) {
                    boolean lapsed = end.path(0).asLong() <= mLastBeforeLapse;
                    mRuns.onConfirmedDone(
                            mTarget, end.path(1).asText(), end.path(2).asLong(), lapsed);
                }
            }
        }
    }

    List<ArrayNode> unseen() {
        return List.copyOf(mUnseen);
    }
}
