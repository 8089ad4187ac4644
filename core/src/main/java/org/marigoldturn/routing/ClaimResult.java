package org.marigoldturn.routing;

/** Response of the owner of a request id to a claim. */
public enum ClaimResult {
    /** The claimant, and nobody else, may run the request. */
    GRANTED,
    /** The id was granted before. */
    DUPLICATE,
    /** The id may have been granted by an earlier owner, or before the retention period. */
    UNKNOWN,
    /** The daemon does not own the id, or cannot decide yet; the claimant may retry. */
    NOT_OWNER
}
