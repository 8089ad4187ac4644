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
}
