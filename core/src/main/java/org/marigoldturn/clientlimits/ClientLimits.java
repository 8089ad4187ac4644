package org.marigoldturn.clientlimits;

/**
 * Limits of a server on its clients. Immutable.
 *
 * @param maxConnections open connections of clients
 * @param reservedConnections open connections at a port that is reserved for readiness calls; they
 *     do not count as connections of clients
 * @param maxHeaderLines lines of a request's head, with the request line
 * @param maxPipelinedRequests requests of an HTTP/1.1 connection without a complete response;
 *     further ones are not read until there are fewer
 * @param maxUnreadBytes bytes of responses that a connection has not taken; above that, nothing is
 *     read from it
 * @param headTimeoutMillis longest time from the first to the last byte of a head
 * @param bodyTimeoutMillis longest time of a body, in addition to 1 ms for each received byte
 * @param readTimeoutMillis longest time in which a client reads nothing of its responses
 * @param idleTimeoutMillis time after which a connection without any traffic is closed
 * @param memoryBudgetBytes estimated bytes that all connections together may hold
 */
public record ClientLimits(
        int maxConnections,
        int reservedConnections,
        int maxHeaderLines,
        int maxPipelinedRequests,
        int maxUnreadBytes,
        long headTimeoutMillis,
        long bodyTimeoutMillis,
        long readTimeoutMillis,
        long idleTimeoutMillis,
        long memoryBudgetBytes) {
    /** The header bytes that are published as permitted. */
    public static final int MAX_HEADER_BYTES = 16_384;

    /** Length of a request line, which counts separately from header lines. */
    public static final int MAX_REQUEST_LINE_BYTES = 8_192;

    /** Concurrent HTTP/2 streams of a connection; a client opens another one beyond that. */
    public static final int MAX_STREAMS = 256;

    private static final int RESERVED_CONNECTIONS = 64;
    private static final int MAX_HEADER_LINES = 128;
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final int MAX_UNREAD_BYTES = 262_144;
    private static final long HEAD_TIMEOUT_MILLIS = 10_000;
    private static final long BODY_TIMEOUT_MILLIS = 30_000;
    private static final long READ_TIMEOUT_MILLIS = 30_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** The rest of the heap is for the state of the fleet and for links to other processes. */
    private static final int HEAP_PARTS_PER_BUDGET = 4;

    public ClientLimits {
        requirePositive("maxConnections", maxConnections);
        requirePositive("reservedConnections", reservedConnections);
        requirePositive("maxHeaderLines", maxHeaderLines);
        requirePositive("maxPipelinedRequests", maxPipelinedRequests);
        requirePositive("maxUnreadBytes", maxUnreadBytes);
        requirePositive("headTimeoutMillis", headTimeoutMillis);
        requirePositive("bodyTimeoutMillis", bodyTimeoutMillis);
        requirePositive("readTimeoutMillis", readTimeoutMillis);
        requirePositive("idleTimeoutMillis", idleTimeoutMillis);
        requirePositive("memoryBudgetBytes", memoryBudgetBytes);
    }

    /** Returns the defaults for a number of connections and a size of the heap. */
    public static ClientLimits defaults(int maxConnections, long maxHeapBytes) {
        return new ClientLimits(
                maxConnections,
                RESERVED_CONNECTIONS,
                MAX_HEADER_LINES,
                MAX_PIPELINED_REQUESTS,
                MAX_UNREAD_BYTES,
                HEAD_TIMEOUT_MILLIS,
                BODY_TIMEOUT_MILLIS,
                READ_TIMEOUT_MILLIS,
                IDLE_TIMEOUT_MILLIS,
                maxHeapBytes / HEAP_PARTS_PER_BUDGET);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive, but is: " + value);
        }
    }
}
