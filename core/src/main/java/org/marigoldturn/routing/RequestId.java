package org.marigoldturn.routing;

import io.vavr.control.Either;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/**
 * Id of a request: a UUID version 7 (RFC 9562), which contains its time of creation. Immutable.
 *
 * @param uuid the id
 */
public record RequestId(UUID uuid) {
    /** Largest assumed difference between the clocks of callers, daemons and the platform. */
    public static final long REQUEST_ID_CLOCK_SKEW_MILLIS = 2_000;

    /** Time for which an owner keeps the ids that it granted. */
    public static final long CLAIM_RETENTION_MILLIS = 600_000;

    private static final int VERSION = 7;
    private static final int RFC_VARIANT = 2;
    private static final Pattern FORMAT =
            Pattern.compile("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}");

    public RequestId {
        if (uuid.version() != VERSION || uuid.variant() != RFC_VARIANT) {
            throw new IllegalArgumentException(
                    "request id " + uuid + " must be a UUID version 7 (RFC 9562)");
        }
    }

    /**
     * Reason for which an id is rejected.
     *
     * @param mayHaveRun whether another daemon may have accepted the same id earlier
     */
    public record InvalidId(boolean mayHaveRun, String detail) {}

    /** Parses an id and checks that its time is within the window that owners accept. */
    public static Either<InvalidId, RequestId> parse(String text, long nowMillis) {
        if (!FORMAT.matcher(text).matches()) {
            return invalid(false, "the request id must be a UUID of 36 characters");
        }
        UUID uuid = UUID.fromString(text);
        if (uuid.version() != VERSION || uuid.variant() != RFC_VARIANT) {
            return invalid(false, "the request id must be a UUID version 7 (RFC 9562)");
        }
        RequestId id = new RequestId(uuid);
        long aheadMillis = id.timeMillis() - nowMillis;
        if (aheadMillis > REQUEST_ID_CLOCK_SKEW_MILLIS) {
            // A daemon whose clock is ahead by the skew accepts ids up to twice the skew ahead of
            // this clock.
            boolean mayHaveRun = aheadMillis <= 2 * REQUEST_ID_CLOCK_SKEW_MILLIS;
            return invalid(
                    mayHaveRun,
                    "the time in the request id is %d ms ahead; at most %d are allowed"
                            .formatted(aheadMillis, REQUEST_ID_CLOCK_SKEW_MILLIS));
        }
        if (-aheadMillis > CLAIM_RETENTION_MILLIS) {
            return invalid(
                    true,
                    "the request id is %d ms old; at most %d are allowed"
                            .formatted(-aheadMillis, CLAIM_RETENTION_MILLIS));
        }
        return Either.right(id);
    }

    private static Either<InvalidId, RequestId> invalid(boolean mayHaveRun, String detail) {
        return Either.left(new InvalidId(mayHaveRun, detail));
    }

    /** Creates an id with the given time. */
    public static RequestId generate(long nowMillis, RandomGenerator random) {
        long high = (nowMillis << 16) | 0x7000L | (random.nextLong() & 0xFFFL);
        long low = (random.nextLong() >>> 2) | 0x8000_0000_0000_0000L;
        return new RequestId(new UUID(high, low));
    }

    /** Returns the wall-clock time in the id. */
    public long timeMillis() {
        return uuid.getMostSignificantBits() >>> 16;
    }

    @Override
    public String toString() {
        return uuid.toString();
    }
}
