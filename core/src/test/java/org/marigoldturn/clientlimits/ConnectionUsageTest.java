package org.marigoldturn.clientlimits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Guards against limits that ordinary clients reach, and against connections without a limit. */
class ConnectionUsageTest {
    private static final long HEAP_BYTES = 160L << 20;
    private static final ClientLimits LIMITS = ClientLimits.defaults(2_900, HEAP_BYTES);

    /** Published limits of a client. */
    private static final int PUBLISHED_HEADER_BYTES = 16_384;

    private static final int PUBLISHED_BODY_BYTES = 262_144;
    private static final long PUBLISHED_HEADER_TIMEOUT_MILLIS = 3_000;
    private static final long PUBLISHED_IDLE_TIMEOUT_MILLIS = 15_000;

    /** A request line, the usual headers of a client and of a load balancer, and a blank line. */
    private static final int USUAL_HEAD_LINES = 40;

    private final ConnectionUsage mUsage = new ConnectionUsage(LIMITS, 0);

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against a default that refuses a client within the published limits. */
    @Example
    void publishedLimitsAreWithinTheDefaults() {
        assertThat(LIMITS.idleTimeoutMillis()).isGreaterThan(PUBLISHED_IDLE_TIMEOUT_MILLIS);
        assertThat(ClientLimits.MAX_HEADER_BYTES).isGreaterThanOrEqualTo(PUBLISHED_HEADER_BYTES);
        mUsage.setHttp1(true);
        mUsage.received(PUBLISHED_HEADER_BYTES, USUAL_HEAD_LINES, 0);
        long headNanos = nanos(PUBLISHED_HEADER_TIMEOUT_MILLIS);
        assertThat(mUsage.violation(headNanos)).isEmpty();
        mUsage.headCompleted(headNanos);
        mUsage.received(PUBLISHED_BODY_BYTES, PUBLISHED_BODY_BYTES, headNanos);
        assertThat(mUsage.violation(headNanos + nanos(PUBLISHED_IDLE_TIMEOUT_MILLIS))).isEmpty();
        mUsage.requestCompleted(headNanos);
        assertThat(mUsage.pause()).isEmpty();
        assertThat(mUsage.violation(nanos(3_600_000))).isEmpty();
    }

    @Example
    void unfinishedHeadIsLimitedInLinesAndTime() {
        mUsage.setHttp1(true);
        mUsage.received(200, LIMITS.maxHeaderLines() + 1, 0);
        assertThat(mUsage.violation(0)).contains(LimitKind.HEADER_LINES);
        ConnectionUsage slow = new ConnectionUsage(LIMITS, 0);
        slow.setHttp1(true);
        slow.received(1, 0, 0);
        slow.received(1, 0, nanos(LIMITS.headTimeoutMillis()));
        assertThat(slow.violation(nanos(LIMITS.headTimeoutMillis() + 1)))
                .contains(LimitKind.HEAD_TIME);
    }

    @Example
    void bodyHasTimeInProportionToItsBytes() {
        mUsage.setHttp1(true);
        mUsage.headCompleted(0);
        mUsage.received(1_000, 0, 0);
        long limitMillis = LIMITS.bodyTimeoutMillis() + 1_000;
        assertThat(mUsage.violation(nanos(limitMillis))).isEmpty();
        assertThat(mUsage.violation(nanos(limitMillis + 1))).contains(LimitKind.BODY_TIME);
    }

    @Example
    void requestsWithoutResponsesPauseReading() {
        mUsage.setHttp1(true);
        for (int i = 0; i < LIMITS.maxPipelinedRequests(); i++) {
            assertThat(mUsage.pause()).isEmpty();
            mUsage.headCompleted(0);
            mUsage.requestCompleted(0);
        }
        assertThat(mUsage.pause()).contains(LimitKind.PIPELINED);
        mUsage.responseCompleted(0);
        assertThat(mUsage.pause()).isEmpty();
    }

    @Example
    void unreadResponsesPauseReadingAndEndTheConnection() {
        mUsage.responseQueued(LIMITS.maxUnreadBytes() + 1, 0);
        assertThat(mUsage.pause()).contains(LimitKind.UNREAD);
        assertThat(mUsage.heldBytes()).isGreaterThan(LIMITS.maxUnreadBytes());
        long limitNanos = nanos(LIMITS.readTimeoutMillis());
        assertThat(mUsage.violation(limitNanos)).isEmpty();
        assertThat(mUsage.violation(limitNanos + 1)).contains(LimitKind.READ_TIME);
        mUsage.readProgress(1, limitNanos);
        assertThat(mUsage.violation(limitNanos + 1)).isEmpty();
    }

    @Example
    void limitsMustBePositive() {
        assertThatThrownBy(() -> ClientLimits.defaults(0, HEAP_BYTES))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("maxConnections must be positive, but is: 0");
    }
}
