package org.marigoldturn.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Summary of the change that produced one version.
 *
 * @param manifest manifest of the version
 * @param changedPaths paths of the edits and of all entries that changed, such as {@code
 *     teams/club}; the empty path stands for all operator settings
 * @param entriesBefore previous hash by path of each stored content that the change replaced or
 *     removed
 */
public record HistoryEntry(
        Manifest manifest, List<String> changedPaths, Map<String, String> entriesBefore) {
    public HistoryEntry {
        changedPaths = List.copyOf(changedPaths);
        entriesBefore = java.util.Collections.unmodifiableMap(new TreeMap<>(entriesBefore));
    }

    /** Creates the entry of a change from the states before and after it. */
    static HistoryEntry of(VersionedState before, VersionedState after, List<String> editedPaths) {
        java.util.TreeSet<String> paths = new java.util.TreeSet<>(editedPaths);
        paths.addAll(SettingsPaths.changed(before, after));
        Map<String, String> replaced = new TreeMap<>(before.manifest().entries());
        replaced.entrySet().removeAll(after.manifest().entries().entrySet());
        return new HistoryEntry(after.manifest(), List.copyOf(paths), replaced);
    }
}
