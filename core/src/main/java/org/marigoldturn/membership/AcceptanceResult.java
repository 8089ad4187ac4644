package org.marigoldturn.membership;

import java.util.List;

/**
 * Result of waiting until a committed version is in force on all daemons.
 *
 * @param accepted true if no daemon can still serve an older version
 * @param missingMembers ids of members that have not acknowledged the version
 */
public record AcceptanceResult(boolean accepted, List<String> missingMembers) {
    public AcceptanceResult {
        missingMembers = List.copyOf(missingMembers);
    }
}
