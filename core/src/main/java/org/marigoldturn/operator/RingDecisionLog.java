package org.marigoldturn.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Decision log that keeps the newest records in a ring buffer. Thread safe, without locks. */
public final class RingDecisionLog implements DecisionLog {
    private final AtomicReferenceArray<DecisionRecord> mRing;
    private final AtomicLong mNext = new AtomicLong();

    /**
     * Creates an empty log.
     *
     * @param capacity maximum number of records kept
     */
    public RingDecisionLog(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be positive, not " + capacity);
        }
        mRing = new AtomicReferenceArray<>(capacity);
    }

    @Override
    public void add(DecisionRecord decision) {
        mRing.set((int) (mNext.getAndIncrement() % mRing.length()), decision);
    }

    @Override
    public List<DecisionRecord> find(String requestId) {
        long end = mNext.get();
        List<DecisionRecord> matches = new ArrayList<>();
        for (long i = Math.max(0, end - mRing.length()); i < end; i++) {
            DecisionRecord decision = mRing.get((int) (i % mRing.length()));
            if (decision != null && decision.requestId().equals(requestId)) {
                matches.add(decision);
            }
        }
        return matches;
    }
}
