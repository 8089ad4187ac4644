package org.marigoldturn.rights;

/**
 * Acquires and releases the rights that this daemon holds, for the request path. A right is a
 * permit to run one request under a team's limit or on a host slot. Thread safe; never blocks.
 *
 * @see ResourceNames
 */
public interface RightsHolder {
    /** Acquires one free right of the resource; returns false if there is none. */
    boolean tryAcquire(String resource);

    /** Releases a right acquired by {@link #tryAcquire}. */
    void release(String resource);

    /** Returns the number of free rights of the resource. */
    int free(String resource);
}
