package org.marigoldturn.peer;

import org.marigoldturn.settings.MemberSet;

/** The connections that this daemon keeps open to the other members. Thread safe. */
public interface PeerConnections {
    /** Connects to new members and closes the connections to removed ones. */
    void updateMembers(MemberSet members);

    /**
     * Immediately sends a ping with the held version to all members, in addition to the periodic
     * ones.
     */
    void pingAll();
}
