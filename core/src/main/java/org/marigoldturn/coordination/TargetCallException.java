package org.marigoldturn.coordination;

/** Thrown when a call to a target got no usable response. */
public class TargetCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What the caller knows about the effect of the call. */
    public enum Kind {
        /**
         * No response: the call may have been carried out, or may still be. Refused connections
         * count too, since a network fault can refuse them for a target that is running.
         */
        UNANSWERED,
        /** Another incarnation of the target or another target responded. */
        OTHER_INSTANCE,
        /** The target has seen a higher term. */
        FENCED,
        /** The target responded with an error and did not carry out the call. */
        REJECTED
    }

    private final Kind mKind;

    public TargetCallException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns what the caller knows about the effect of the call. */
    public Kind kind() {
        return mKind;
    }
}
