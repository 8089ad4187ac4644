package org.marigoldturn.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's list of hosts, which lags behind the actual state.
 *
 * <p>Implementations are thread safe and never block.
 */
public interface HostDirectory extends AutoCloseable {
    /** Reads the list; the future fails with {@link HostDirectoryException} if that fails. */
    CompletableFuture<HostListResponse> read(HostListQuery query);

    @Override
    void close();
}
