package org.marigoldturn.settings;

import java.util.List;
import java.util.Optional;

/**
 * The members at one version. Immutable.
 *
 * @param members members, sorted by id
 * @param generation number of changes that led to this member set; a daemon that sees it increase
 *     by more than one has missed a member set
 */
public record MemberSet(List<Member> members, long generation) {
    /** The set before the first daemon joins. */
    public static final MemberSet EMPTY = new MemberSet(List.of());

    public MemberSet {
        members = members.stream().sorted(java.util.Comparator.comparing(Member::id)).toList();
    }

    /** Creates a set of generation 0; the commit replaces the generation. */
    public MemberSet(List<Member> members) {
        this(members, 0);
    }

    /** Returns the smallest number that is more than half of the members. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** Returns the member with the given id. */
    public Optional<Member> find(String id) {
        return members.stream().filter(m -> m.id().equals(id)).findFirst();
    }
}
