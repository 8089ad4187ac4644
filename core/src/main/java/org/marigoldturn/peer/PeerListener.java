package org.marigoldturn.peer;

/**
 * Receives from the transport what it learns about other daemons.
 *
 * <p>All methods are called on transport threads and must not block; implementations should pass
 * the event to the control thread.
 */
public interface PeerListener {
    /**
     * Returns the settings version that this daemon holds; it is sent in pings and their replies.
     *
     * <p>A returned version counts as acknowledged: no request may be decided by an older one
     * afterwards.
     */
    long heldVersion();

    /**
     * Reports the reply to a ping.
     *
     * @param sentNanos monotonic time before the ping was sent
     */
    void onPong(String memberId, long version, long sentNanos);

    /** Reports the version in a ping that another daemon sent. */
    void onPing(String senderId, long version);

    /**
     * Reports that nothing listens at the member's address, which is evidence that its process has
     * ended.
     */
    void onConnectionRefused(String memberId);

    /**
     * Reports that another daemon listens at the member's address: the process has ended, since two
     * processes cannot listen at one address.
     */
    void onAddressTaken(String memberId, String actualId);
}
