package org.marigoldturn.settings;

import java.util.List;

/**
 * A change of settings that is committed as a whole.
 *
 * @param changeId unique id, repeated when the same change is sent again
 * @param author operator or role that makes the change
 * @param baseVersion version on which the author decided; {@link #ANY_VERSION} if the edits do not
 *     depend on it
 * @param edits edits in order
 */
public record SettingsChange(
        String changeId, String author, long baseVersion, List<SettingsEdit> edits) {
    /** The change applies to any version whose touched paths are unchanged since it was read. */
    public static final long ANY_VERSION = -1;

    public SettingsChange {
        edits = List.copyOf(edits);
    }
}
