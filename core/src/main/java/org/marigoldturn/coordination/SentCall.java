package org.marigoldturn.coordination;

/**
 * A call to a target, as described in log lines. Immutable.
 *
 * @param name what it asks for
 * @param leaseMillis how long the lease that it grants lasts on the owner's clock; 0 for none
 * @param recordedEnd highest number of an end that it confirms
 * @param sentMillis monotonic time at which it was sent
 */
record SentCall(String name, long leaseMillis, long recordedEnd, long sentMillis) {
    /** Returns the fields about it in log lines. */
    String describe(long nowMillis) {
        return "call="
                + name
                + " leaseMillis="
                + leaseMillis
                + " lastSeen="
                + recordedEnd
                + " openMillis="
                + (nowMillis - sentMillis);
    }
}
