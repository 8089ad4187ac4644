package org.marigoldturn.settings;

/** Result of a store confirmation. */
public sealed interface ConfirmResult {
    /**
     * The held version was the newest one when the store executed the confirmation.
     *
     * @param state the held state with the store revision of its manifest
     */
    record Confirmed(LoadedState state) implements ConfirmResult {}

    /** A newer version exists; the held one was not confirmed. */
    record Newer(LoadedState state) implements ConfirmResult {}
}
