package org.marigoldturn.admission;

import java.util.Objects;
import java.util.Set;

/**
 * One request in a {@link PoolQueue}. The arguments are immutable; the queue position is guarded by
 * the lock of the queue.
 *
 * @param <T> what the caller of the queue attaches to the request
 */
public final class QueuedRequest<T> {
    private final TeamTerms mTerms;
    private final boolean mUrgent;
    private final boolean mRepeated;
    private final ResourceNeeds mNeeds;
    private final long mExpiresNanos;
    private final T mAttachment;

    /** Set of waiting requests with the same terms, or null if the request is not queued. */
    Set<QueuedRequest<T>> mLane;

    /** Requests that expire at about the same time. */
    Set<QueuedRequest<T>> mExpiryBucket;

    long mSequence;

    /** Whether the running request counts towards the urgent part of the pool. */
    boolean mCountsAsUrgent;

    /**
     * Creates a request that is not queued yet.
     *
     * @param repeated whether an earlier attempt was made; such requests are exempt from the
     *     capacity, since they were admitted before
     * @param expiresNanos monotonic time at which the request may no longer start
     */
    public QueuedRequest(
            TeamTerms terms,
            boolean urgent,
            boolean repeated,
            ResourceNeeds needs,
            long expiresNanos,
            T attachment) {
        mTerms = Objects.requireNonNull(terms, "terms");
        mUrgent = urgent;
        mRepeated = repeated;
        mNeeds = Objects.requireNonNull(needs, "needs");
        mExpiresNanos = expiresNanos;
        mAttachment = attachment;
    }

    /** Returns the terms of the request's team. */
    public TeamTerms terms() {
        return mTerms;
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

    /** Returns the monotonic time at which the request may no longer start. */
    public long expiresNanos() {
        return mExpiresNanos;
    }

    /** Returns what the creator attached. */
    public T attachment() {
        return mAttachment;
    }
}
