package org.marigoldturn.entry;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.routing.AttemptFailure;
import org.marigoldturn.settings.ServiceSettings;

/** Rules that derive the state of a request and of its host from the end of an attempt. */
final class AttemptRules {
    /** Status codes 501 and 505 are caused by the request, not by the state of the host. */
    private static final int NOT_IMPLEMENTED = 501;

    private static final int VERSION_NOT_SUPPORTED = 505;
    private static final int FIRST_SERVER_ERROR = 500;

    private static final String RESET_BY_TARGET = "received a RST_STREAM frame";

    private AttemptRules() {}

    /** Returns whether the response counts against the health of the host. */
    static boolean isServerError(ResponseHeaders headers) {
        int status = headers.status().code();
        return status >= FIRST_SERVER_ERROR
                && status != NOT_IMPLEMENTED
                && status != VERSION_NOT_SUPPORTED;
    }

    /**
     * Returns whether the end of an attempt proves that the target no longer runs the request.
     *
     * <p>A complete response, a reset by the target and a request that was never processed are
     * proof; a lost connection is not. Armeria uses one exception type for a reset by the target
     * and for a connection that it closed because a PING got no response, so they are told apart by
     * the message. With any other message the rights stay in use.
     *
     * @param failure cause of the end, or null if the response ended normally
     */
    static boolean provesEnd(Throwable failure) {
        return failure == null
                || failure instanceof UnprocessedRequestException
                || (failure instanceof ClosedStreamException
                        && String.valueOf(failure.getMessage()).startsWith(RESET_BY_TARGET));
    }

    /** Returns whether the target may have run a request whose response did not arrive in full. */
    static AttemptFailure kind(Throwable failure) {
        return failure instanceof UnprocessedRequestException
                ? AttemptFailure.NOT_PROCESSED
                : AttemptFailure.MAY_HAVE_RUN;
    }

    /** Returns the reason for logs and decision records. */
    static String describe(Throwable failure) {
        return failure == null ? "incomplete-answer" : failure.getClass().getSimpleName();
    }

    /**
     * Returns whether an abandoned attempt counts against the health of its host.
     *
     * <p>A caller's short deadline must not eject a host that other callers can use, so only the
     * default deadline of the service counts.
     */
    static boolean wasSlow(long elapsedNanos, ServiceSettings service) {
        // Idempotent requests are retried after half of their time; 45 % leaves a tolerance for the
        // timer.
        return elapsedNanos
                >= TimeUnit.MILLISECONDS.toNanos(service.defaultDeadlineMillis()) * 45 / 100;
    }
}
