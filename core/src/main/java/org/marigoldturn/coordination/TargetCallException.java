package org.marigoldturn.coordination;

/** A call to a target had no usable answer. */
public class TargetCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is known of the call. */
    public enum Kind {
        /** It may have been carried out, or may still be. */
        UNANSWERED,
        /** Nothing listens at the address: the target's process has ended. */
        REFUSED,
        /** Another life or another target answered. */
        OTHER_INSTANCE,
        /** The target has seen a higher term. */
        FENCED,
        /** It was answered with an error and not carried out. */
        REJECTED
    }

    private final Kind mKind;

    public TargetCallException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns what is known of the call. */
    public Kind kind() {
        return mKind;
    }
}
