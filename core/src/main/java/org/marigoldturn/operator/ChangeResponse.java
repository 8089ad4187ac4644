package org.marigoldturn.operator;

import java.util.List;

/**
 * Response to a change.
 *
 * @param changeId id of the change, for safe repetition
 * @param version settings version that contains the change
 * @param result {@link #ACCEPTED} or {@link #COMMITTED}
 * @param missingMembers daemons that have not acknowledged the version
 * @param unchanged true if the settings were already as requested and nothing was committed
 */
public record ChangeResponse(
        String changeId,
        long version,
        String result,
        List<String> missingMembers,
        boolean unchanged) {
    /** The change is in force at all daemons. */
    public static final String ACCEPTED = "accepted";

    /** The change is committed, but a daemon may still serve an older version. */
    public static final String COMMITTED = "committed, not yet confirmed";
}
