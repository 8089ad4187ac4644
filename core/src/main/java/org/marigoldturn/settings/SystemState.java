package org.marigoldturn.settings;

import java.util.Objects;

/** The parts of a state that the daemons change themselves. */
public record SystemState(MemberSet members, RightsDivision rights) {
    public SystemState {
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(rights, "rights");
    }
}
