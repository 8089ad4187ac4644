package org.marigoldturn.coordination;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's service for hosts. Thread safe, never blocks. */
public interface HostClient {
    /** Lists all hosts. */
    CompletableFuture<List<HostStatus>> list();

    /** Orders the upkeep of a host; what runs there ends at once. */
    CompletableFuture<UpkeepOutcome> upkeep(String hostId, long wave, String holder, long term);

    /**
     * One host of the list.
     *
     * @param hostId identifies the host
     * @param pool service to whose pool it belongs
     * @param up whether it is in use, neither moving nor in upkeep nor down
     * @param lost whether it is down
     * @param targetId target that runs on it; empty for none
     */
    record HostStatus(String hostId, String pool, boolean up, boolean lost, String targetId) {}

    /** Answer to the order of an upkeep. */
    enum UpkeepOutcome {
        /** It has begun, or had been carried out before. */
        BEGUN,
        FENCED,
        /** The host is not up, or its target is about to leave. */
        BUSY,
        /** The host is not part of the wave, or there is no such host. */
        NOT_IN_WAVE,
        /** Too many calls, or the service does not answer; it may have begun. */
        UNKNOWN
    }
}
