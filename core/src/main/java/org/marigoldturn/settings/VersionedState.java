package org.marigoldturn.settings;

import java.util.Objects;

/**
 * Everything that one version of the manifest names. Immutable.
 *
 * @param manifest names of the content
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
