package org.marigoldturn.settings;

import java.util.Objects;

/** The parts of a versioned state outside the settings: members and division of rights. */
public record SystemState(MemberSet members, RightsDivision rights) {
    public SystemState {
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(rights, "rights");
    }
}
