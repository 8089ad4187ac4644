package org.marigoldturn.settings;

import java.util.List;

/**
 * A change of settings that is committed as a whole.
 *
 * @param changeId unique id, repeated when the same change is sent again
 * @param author operator or role that makes the change
 * @param baseVersion version on which the edits are based; {@link #ANY_VERSION} if they do not
 *     depend on one
 * @param edits edits in order
 */
public record SettingsChange(
        String changeId, String author, long baseVersion, List<SettingsEdit> edits) {
    /** Bases the change on the newest version; it conflicts if its paths change meanwhile. */
    public static final long ANY_VERSION = -1;

    public SettingsChange {
        edits = List.copyOf(edits);
    }
}
