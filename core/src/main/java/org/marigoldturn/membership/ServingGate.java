package org.marigoldturn.membership;

/** Tells whether this daemon may start work now. Thread safe; never blocks. */
@FunctionalInterface
public interface ServingGate {
    /**
     * Returns whether the held version is confirmed.
     *
     * @param nowNanos current monotonic time
     */
    boolean mayServe(long nowNanos);

    /**
     * Returns whether work that was decided by the given version may start now. If this daemon has
     * adopted a later version since, the result is false and the decision must be made again.
     *
     * @param nowNanos current monotonic time
     */
    default boolean mayServe(long version, long nowNanos) {
        return mayServe(nowNanos);
    }
}
