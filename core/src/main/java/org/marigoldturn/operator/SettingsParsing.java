package org.marigoldturn.operator;

import io.vavr.control.Either;
import java.util.List;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.SettingsError;

/** Parses settings that an operator sends. Thread safe. */
@FunctionalInterface
public interface SettingsParsing {
    /** Returns the settings, or all errors with path and line. */
    Either<List<SettingsError>, FleetSettings> parse(byte[] yaml);
}
