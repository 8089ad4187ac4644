package org.marigoldturn.routing;

import java.util.Set;

/**
 * Claims that a leaving owner hands to the next owner of their ids. Immutable.
 *
 * @param ids ids that the leaving owner granted and the receiver owns from now on
 * @param completeSinceMillis earliest id time for which the sender's records are complete
 * @param nextMemberIds member set by which the ids were divided; the records are complete only
 *     under this set
 */
public record ClaimHandoverData(
        Set<RequestId> ids, long completeSinceMillis, Set<String> nextMemberIds) {
    public ClaimHandoverData {
        ids = Set.copyOf(ids);
        nextMemberIds = Set.copyOf(nextMemberIds);
    }
}
