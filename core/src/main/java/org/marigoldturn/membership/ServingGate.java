package org.marigoldturn.membership;

/** Tells whether this daemon may start work now. Thread safe; never blocks. */
@FunctionalInterface
public interface ServingGate {
    /**
     * Returns whether the held version is confirmed.
     *
     * @param nowNanos present monotonic time
     */
    boolean mayServe(long nowNanos);

    /**
     * Returns whether work that was decided by the given version may start now; false if a later
     * version has been acknowledged since, in which case the decision must be made again.
     *
     * @param nowNanos present monotonic time
     */
    default boolean mayServe(long version, long nowNanos) {
        return mayServe(nowNanos);
    }
}
