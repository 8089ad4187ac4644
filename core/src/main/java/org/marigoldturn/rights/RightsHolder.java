package org.marigoldturn.rights;

/**
 * Rights that this daemon holds, as the request path uses them. Thread safe; never blocks.
 *
 * @see Resources
 */
public interface RightsHolder {
    /** Takes one free right of the resource; returns whether there was one. */
    boolean tryAcquire(String resource);

    /** Returns a right taken by {@link #tryAcquire}. */
    void release(String resource);

    /** Returns the number of free rights of the resource. */
    int free(String resource);
}
