package org.marigoldturn.routing;

import java.util.Set;

/**
 * Records (granted request ids) that an owner hands over to their next owner, because it leaves or
 * the next owner joins. Records are complete since a time if they contain every granted id with
 * that time or a later one. Immutable.
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
