package org.marigoldturn.operator;

/** Gives the present status. Thread safe. */
@FunctionalInterface
public interface StatusSource {
    /** Returns the status as this daemon sees it now. */
    FleetStatus status();
}
