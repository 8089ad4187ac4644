package org.marigoldturn.admission;

import java.util.Objects;
import java.util.Set;

/**
 * One request in a {@link PoolQueue}. The constructor arguments are immutable; the position in the
 * queue is guarded by the lock of the queue.
 *
 * @param <T> type of the object that the caller of the queue attaches to the request
 */
public final class QueuedRequest<T> {
    private final TeamAdmissionRules mRules;
    private final boolean mUrgent;
    private final boolean mRepeated;
    private final ResourceNeeds mNeeds;
    private final long mExpiresNanos;
    private final T mAttachment;

    /**
     * Queued requests of the team with the same urgency, repetition and needs; null if this request
     * is not queued.
     */
    Set<QueuedRequest<T>> mLane;

    /** Queued requests that expire at about the same time. */
    Set<QueuedRequest<T>> mExpiryBucket;

    /** Position in the order of arrival at the queue. */
    long mSequence;

    /**
     * Whether the running request counts towards the slots in which urgent requests have priority.
     */
    boolean mCountsAsUrgent;

    /**
     * Creates a request that is not queued yet.
     *
     * @param repeated whether an earlier attempt was made; such requests are exempt from the
     *     capacity, because they have already been admitted
     * @param expiresNanos monotonic time from which the request may no longer start
     */
    public QueuedRequest(
            TeamAdmissionRules rules,
            boolean urgent,
            boolean repeated,
            ResourceNeeds needs,
            long expiresNanos,
            T attachment) {
        mRules = Objects.requireNonNull(rules, "rules");
        mUrgent = urgent;
        mRepeated = repeated;
        mNeeds = Objects.requireNonNull(needs, "needs");
        mExpiresNanos = expiresNanos;
        mAttachment = attachment;
    }

    /** Returns the share weight and limit of the request's team. */
    public TeamAdmissionRules rules() {
        return mRules;
    }

    /** Returns whether the caller marked the request as urgent. */
    public boolean urgent() {
        return mUrgent;
    }

    /** Returns whether an earlier attempt was made. */
    public boolean repeated() {
        return mRepeated;
    }

    /** Returns the resources that the request needs. */
    public ResourceNeeds needs() {
        return mNeeds;
    }

    /** Returns the monotonic time from which the request may no longer start. */
    public long expiresNanos() {
        return mExpiresNanos;
    }

    /** Returns the object attached by the creator. */
    public T attachment() {
        return mAttachment;
    }
}
