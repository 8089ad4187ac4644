package org.marigoldturn.rights;

/**
 * Acquires and releases the rights that this daemon holds, for the request path. Each acquisition
 * permits one request under a team's limit or on a host slot. Thread safe; never blocks.
 *
 * @see ResourceNames
 */
public interface RightsHolder {
    /** Acquires the permit for one request; returns false if no further request may start. */
    boolean tryAcquire(String resource);

    /** Releases a permit acquired by {@link #tryAcquire}. */
    void release(String resource);

    /** Returns how many further requests may start now on the rights held of the resource. */
    int free(String resource);
}
