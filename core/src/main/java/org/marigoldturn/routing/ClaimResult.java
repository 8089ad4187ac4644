package org.marigoldturn.routing;

/** Response of the owner of a request id to a claim. */
public enum ClaimResult {
    /** The claimant, and nobody else, may run the request. */
    GRANTED,
    /** The id was granted before. */
    DUPLICATE,
    /** An earlier owner may have granted the id. */
    UNKNOWN,
    /** The daemon that received the claim does not own the id at present. */
    NOT_OWNER
}
