package org.marigoldturn.settings;

import java.util.List;

/** Result of a settings change. */
public sealed interface ChangeResult {
    /** The change is committed; {@code state} is the version that holds it. */
    record Committed(LoadedState state) implements ChangeResult {}

    /** Another change to the same path, or a newer version than the base, was committed first. */
    record Conflict(Manifest winner, String path) implements ChangeResult {}

    /** The resulting settings would be invalid; nothing was written. */
    record Invalid(List<SettingsError> errors) implements ChangeResult {}
}
