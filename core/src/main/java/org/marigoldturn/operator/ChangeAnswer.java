package org.marigoldturn.operator;

import java.util.List;

/**
 * Answer to a change.
 *
 * @param changeId id of the change, for safe repetition
 * @param version version that holds the change
 * @param result {@link #ACCEPTED} or {@link #COMMITTED}
 * @param missingMembers daemons that have not acknowledged the version
 * @param unchanged whether the settings were as wanted already
 */
public record ChangeAnswer(
        String changeId,
        long version,
        String result,
        List<String> missingMembers,
        boolean unchanged) {
    /** The change is in force everywhere. */
    public static final String ACCEPTED = "accepted";

    /** The change is committed, but a daemon may still serve an older version. */
    public static final String COMMITTED = "committed, not yet confirmed";
}
