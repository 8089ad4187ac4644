package org.marigoldturn.coordination;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's service for hosts. Thread safe, never blocks. */
public interface HostClient {
    /** Lists all hosts. */
    CompletableFuture<List<HostStatus>> list();

    /** Orders the upkeep of a host; what runs there ends at once. */
    CompletableFuture<HostOrderOutcome> upkeep(String hostId, long wave, String holder, long term);

    /** Orders the move of a host to another pool; what runs there ends at once. */
    CompletableFuture<HostOrderOutcome> move(String hostId, String pool, String holder, long term);

    /**
     * One host of the list.
     *
     * @param hostId identifies the host
     * @param pool service to whose pool it belongs
     * @param up whether it is in use, neither moving nor in upkeep nor down
     * @param lost whether it is down
     * @param zone its availability zone
     * @param targetId target that runs on it; empty for none
     */
    record HostStatus(
            String hostId, String pool, boolean up, boolean lost, String zone, String targetId) {}

    /** Answer to an order for a host. */
    enum HostOrderOutcome {
        /** It has begun, or had been carried out before. */
        BEGUN,
        FENCED,
        /** The host is not up, or its target is about to leave. */
        BUSY,
        /** There is no such host, or the order does not apply to it. */
        REJECTED,
        /** Too many calls, or the service does not answer; it may have begun. */
        UNKNOWN
    }
}
