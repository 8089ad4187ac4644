package org.marigoldturn.settings;

import java.util.Objects;

/**
 * Settings, members and division of rights at one version. Immutable.
 *
 * @param manifest manifest of the version
 * @param settings operators' settings
 * @param members member set
 * @param rights division of rights
 */
public record VersionedState(
        Manifest manifest, FleetSettings settings, MemberSet members, RightsDivision rights) {
    /** The state before the first change. */
    public static final VersionedState INITIAL =
            new VersionedState(
                    Manifest.INITIAL, FleetSettings.EMPTY, MemberSet.EMPTY, RightsDivision.EMPTY);

    public VersionedState {
        Objects.requireNonNull(manifest, "manifest");
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(rights, "rights");
    }

    /** Returns the version of the manifest. */
    public long version() {
        return manifest.version();
    }
}
