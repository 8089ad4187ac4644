package org.marigoldturn.coordination;

/**
 * Computes the tokens that the owner's calls to targets carry. Stateless.
 *
 * <p>A target rejects a call with a lower token than the highest that it has seen. So it rejects
 * the calls of an earlier owner once it has responded to a newer one, and the calls of an earlier
 * contact once it has responded to a later one, also if it was restarted in between.
 */
final class FencingToken {
    private static final int CONTACT_BITS = 20;

    /** Highest number of a contact in one term. */
    static final long MAX_CONTACT = (1L << CONTACT_BITS) - 1;

    /** More contacts than are made between two checks of {@link #hasNext}. */
    private static final long RESERVED_CONTACTS = 1L << 16;

    private FencingToken() {}

    /** Returns whether the term has enough numbers left for further contacts. */
    static boolean hasNext(long contacts) {
        return contacts < MAX_CONTACT - RESERVED_CONTACTS;
    }

    /**
     * Returns the token of calls to a target.
     *
     * @param term the owner's term
     * @param contact number of the contact with the target in this term
     * @throws IllegalArgumentException if the contact is out of range
     */
    static long of(long term, long contact) {
        if (contact < 0 || contact > MAX_CONTACT) {
            throw new IllegalArgumentException(
                    "contact must be from 0 to " + MAX_CONTACT + ", but is " + contact);
        }
        return (term << CONTACT_BITS) + contact;
    }
}
