package org.marigoldturn.store;

/**
 * A condition of a transaction on one key.
 *
 * @param key full key
 * @param modRevision required modification revision; {@link #ABSENT} if the key must not exist
 */
public record Compare(String key, long modRevision) {
    /** Modification revision of a key that does not exist. */
    public static final long ABSENT = 0;

    public Compare {
        if (modRevision < 0) {
            throw new IllegalArgumentException(
                    "required revision of key "
                            + key
                            + " must not be negative, not "
                            + modRevision);
        }
    }

    /** Requires that the key does not exist. */
    public static Compare absent(String key) {
        return new Compare(key, ABSENT);
    }
}
