package org.marigoldturn.entry;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.routing.AttemptFailure;
import org.marigoldturn.settings.ServiceSettings;

/** Rules that say what the end of an attempt tells about the request and the host. Stateless. */
final class AttemptRules {
    /** 501 and 505 describe the request, not the state of the host. */
    private static final int NOT_IMPLEMENTED = 501;

    private static final int VERSION_NOT_SUPPORTED = 505;
    private static final int FIRST_SERVER_ERROR = 500;

    private static final String RESET_BY_TARGET = "received a RST_STREAM frame";

    private AttemptRules() {}

    /** Returns whether the answer counts against the health of the host. */
    static boolean isServerError(ResponseHeaders headers) {
        int status = headers.status().code();
        return status >= FIRST_SERVER_ERROR
                && status != NOT_IMPLEMENTED
                && status != VERSION_NOT_SUPPORTED;
    }

    /**
     * Returns whether nothing of the request runs any more.
     *
     * <p>A lost connection proves nothing; a complete answer or a reset by the target does. Armeria
     * uses one exception type for a reset by the target and for a connection that it closed after a
     * PING without an answer, so the message decides; another message keeps the rights.
     *
     * @param failure cause of the end, or null
     */
    static boolean provesEnd(Throwable failure) {
        return failure == null
                || failure instanceof UnprocessedRequestException
                || (failure instanceof ClosedStreamException
                        && String.valueOf(failure.getMessage()).startsWith(RESET_BY_TARGET));
    }

    /** Returns whether the target may have run a request that ended without an answer. */
    static AttemptFailure kind(Throwable failure) {
        return failure instanceof UnprocessedRequestException
                ? AttemptFailure.NOT_PROCESSED
                : AttemptFailure.MAY_HAVE_RUN;
    }

    /** Returns the reason that logs and decision records name. */
    static String describe(Throwable failure) {
        return failure == null ? "incomplete-answer" : failure.getClass().getSimpleName();
    }

    /**
     * Returns whether an attempt that was given up counts against the health of its host.
     *
     * <p>Short deadlines that callers chose must not eject hosts that others can use.
     */
    static boolean wasSlow(long elapsedNanos, ServiceSettings service) {
        // Half of the default deadline, less a tolerance for the timer that gives up there.
        return elapsedNanos
                >= TimeUnit.MILLISECONDS.toNanos(service.defaultDeadlineMillis()) * 45 / 100;
    }
}
