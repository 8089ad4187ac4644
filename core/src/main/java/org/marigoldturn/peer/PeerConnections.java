package org.marigoldturn.peer;

import org.marigoldturn.settings.MemberSet;

/** Which daemons this one stays connected to. Thread safe. */
public interface PeerConnections {
    /** Connects to new members and closes the connections to removed ones. */
    void updateMembers(MemberSet members);

    /** Sends a ping with the held version to all members at once, outside the usual interval. */
    void pingAll();
}
