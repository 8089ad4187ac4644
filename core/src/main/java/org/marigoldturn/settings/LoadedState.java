package org.marigoldturn.settings;

import java.util.Map;

/**
 * A state as read from the store.
 *
 * @param contents content by hash, reused by the next read
 * @param manifestRevision store revision of the manifest, compared by the next commit
 */
public record LoadedState(
        VersionedState state, Map<String, byte[]> contents, long manifestRevision) {}
