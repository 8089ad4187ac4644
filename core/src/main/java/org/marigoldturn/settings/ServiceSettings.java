package org.marigoldturn.settings;

import java.util.List;

/**
 * Settings of a service and of its queue.
 *
 * @param pool pool whose hosts serve the service
 * @param open whether requests without a key are accepted
 * @param protocol protocol towards the targets
 * @param maxUnavailablePercent percentage of the pool's slots that may be unavailable, 0 to 100
 * @param queueCapacity maximum number of queued requests per team
 * @param defaultDeadlineMillis deadline of a request that specifies none
 * @param maxBodyBytes maximum size of a request body
 * @param notRunStatuses HTTP statuses with which a target declares that it did not run the request
 */
public record ServiceSettings(
        String name,
        String pool,
        boolean open,
        TargetProtocol protocol,
        int maxUnavailablePercent,
        int queueCapacity,
        long defaultDeadlineMillis,
        long maxBodyBytes,
        List<Integer> notRunStatuses) {
    private static final int DEFAULT_QUEUE_CAPACITY = 1000;
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
    private static final long DEFAULT_MAX_BODY_BYTES = 1L << 20;

    public ServiceSettings {
        Names.require("service", name);
        Names.require("pool", pool);
        protocol = protocol == null ? TargetProtocol.H2C : protocol;
        queueCapacity = queueCapacity == 0 ? DEFAULT_QUEUE_CAPACITY : queueCapacity;
        defaultDeadlineMillis =
                defaultDeadlineMillis == 0 ? DEFAULT_DEADLINE_MILLIS : defaultDeadlineMillis;
        maxBodyBytes = maxBodyBytes == 0 ? DEFAULT_MAX_BODY_BYTES : maxBodyBytes;
        notRunStatuses = notRunStatuses == null ? List.of() : List.copyOf(notRunStatuses);
        if (maxUnavailablePercent < 0 || maxUnavailablePercent > 100) {
            throw new IllegalArgumentException(
                    "maxUnavailablePercent of service "
                            + name
                            + " must be 0 to 100, not "
                            + maxUnavailablePercent);
        }
    }
}
