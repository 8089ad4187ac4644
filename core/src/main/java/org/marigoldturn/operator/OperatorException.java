package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpStatus;
import java.util.Map;

/** Failure of an operator's request, reported to the client as a problem detail (RFC 9457). */
final class OperatorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final HttpStatus mStatus;
    private final String mReason;
    private final transient Map<String, Object> mMembers;

    /**
     * @param reason last part of the problem type
     * @param members additional members of the problem detail
     */
    OperatorException(
            HttpStatus status, String reason, String detail, Map<String, Object> members) {
        super(detail);
        mStatus = status;
        mReason = reason;
        mMembers = members;
    }

    static OperatorException notFound(String kind, String name) {
        return new OperatorException(
                HttpStatus.NOT_FOUND,
                "not-found",
                kind + " \"" + name + "\" does not exist",
                Map.of());
    }

    static OperatorException badRequest(String detail) {
        return new OperatorException(HttpStatus.BAD_REQUEST, "bad-request", detail, Map.of());
    }

    HttpStatus status() {
        return mStatus;
    }

    String reason() {
        return mReason;
    }

    Map<String, Object> members() {
        return mMembers;
    }
}
