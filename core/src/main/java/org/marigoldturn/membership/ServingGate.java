package org.marigoldturn.membership;

/** Tells whether this daemon may start work now. Thread safe; never blocks. */
@FunctionalInterface
public interface ServingGate {
    /**
     * Returns whether this daemon may start work: it is a member, it has not been stopped, and the
     * confirmation of the held version is still valid.
     *
     * @param nowNanos current monotonic time
     */
    boolean mayServe(long nowNanos);

    /**
     * Returns whether work that was decided by the given version may start now. If this daemon has
     * adopted a later version since, the result is false and the decision must be made again.
     *
     * <p>The default ignores the version, for implementations whose version never changes.
     *
     * @param nowNanos current monotonic time
     */
    default boolean mayServe(long version, long nowNanos) {
        return mayServe(nowNanos);
    }
}
