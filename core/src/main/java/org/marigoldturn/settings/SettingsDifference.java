package org.marigoldturn.settings;

import java.util.Optional;

/**
 * One entry that differs between two versions.
 *
 * @param path path of the entry, such as {@code teams/club} or {@code system/members}
 * @param before settings record in the first version; empty if the entry did not exist
 * @param after settings record in the second version; empty if the entry does not exist
 */
public record SettingsDifference(String path, Optional<Record> before, Optional<Record> after) {}
