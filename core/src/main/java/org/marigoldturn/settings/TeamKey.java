package org.marigoldturn.settings;

/**
 * A team's key, stored as a salted hash of its secret.
 *
 * @param id public identifier of the key
 * @param saltHex salt in hexadecimal
 * @param hashHex SHA-256 of salt and secret in hexadecimal
 * @param createdAtMillis wall-clock time of creation
 */
public record TeamKey(String id, String saltHex, String hashHex, long createdAtMillis) {
    public TeamKey {
        Names.require("key id", id);
    }

    /** Omits salt and hash, which must not appear in logs. */
    @Override
    public String toString() {
        return "TeamKey[id=" + id + ", createdAtMillis=" + createdAtMillis + "]";
    }
}
