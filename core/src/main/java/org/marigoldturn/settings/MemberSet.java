package org.marigoldturn.settings;

import java.util.List;
import java.util.Optional;

/** The members at one version, sorted by id. Immutable. */
public record MemberSet(List<Member> members) {
    /** The set before the first daemon joins. */
    public static final MemberSet EMPTY = new MemberSet(List.of());

    public MemberSet {
        members = members.stream().sorted(java.util.Comparator.comparing(Member::id)).toList();
    }

    /** Returns the smallest number of members that is more than half of them. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** Returns the member with the given id. */
    public Optional<Member> find(String id) {
        return members.stream().filter(m -> m.id().equals(id)).findFirst();
    }
}
