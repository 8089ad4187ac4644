package org.marigoldturn.routing;

import java.util.Set;

/**
 * Claims that an owner of request ids transfers to their next owner, because it leaves or the next
 * owner joins. Immutable.
 *
 * @param ids granted ids that the receiver owns from now on
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
