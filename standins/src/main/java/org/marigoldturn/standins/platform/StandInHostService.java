package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Stand-in for the host service: lists the hosts of the targets and begins the maintenance of each
 * host once.
 *
 * <p>It can be made to leave calls for the list without a response. Thread safe.
 */
final class StandInHostService {
    private final Collection<StandInTarget> mTargets;
    private final Maintenance mMaintenance;
    private final List<String> mMaintainedHosts = new ArrayList<>();
    private final StandInHttp mHttp = new StandInHttp(this::handle);
    private volatile boolean mListUnavailable;
    private boolean mHostsStayInMaintenance;

    /** Ends the target of a host whose maintenance begins. */
    interface Maintenance {
        /**
         * Ends a target.
         *
         * @param stays whether its host stays in maintenance
         */
        void begin(StandInTarget target, boolean stays);
    }

    /**
     * Starts the service.
     *
     * @param targets a concurrent view of the targets
     */
    StandInHostService(Collection<StandInTarget> targets, Maintenance maintenance) {
        mTargets = targets;
        mMaintenance = maintenance;
    }

    String address() {
        return mHttp.address();
    }

    synchronized void keepInMaintenance() {
        mHostsStayInMaintenance = true;
    }

    void setListUnavailable(boolean unavailable) {
        mListUnavailable = unavailable;
    }

    /** Returns the hosts whose maintenance has begun, also the ended ones, in order. */
    synchronized List<String> inMaintenance() {
        return List.copyOf(mMaintainedHosts);
    }

    private StandInStore.Response handle(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException {
        return context.path().equals("/v1/machines") ? list() : startMaintenance(body);
    }

    private StandInStore.Response list() throws InterruptedException {
        while (mListUnavailable) {
            Thread.sleep(50);
        }
        ObjectNode body = StandInHttp.object();
        var rows = body.putArray("Machines");
        for (StandInTarget target : mTargets) {
            rows.addObject()
                    .put("Machine", target.hostId())
                    .put("Pool", "service")
                    .put("State", state(target))
                    .put("Id", target.hasPower() ? target.id() : "");
        }
        return new StandInStore.Response(200, body.putNull("NextToken"));
    }

    private synchronized String state(StandInTarget target) {
        if (target.hasPower()) {
            return "up";
        }
        return mMaintainedHosts.contains(target.hostId()) ? "upkeep" : "down";
    }

    private synchronized StandInStore.Response startMaintenance(JsonNode body) {
        String host = body.path("Machine").asText();
        if (mMaintainedHosts.contains(host)) {
            return StandInStore.Response.of(200);
        }
        for (StandInTarget target : mTargets) {
            if (target.hostId().equals(host)) {
                mMaintainedHosts.add(host);
                mMaintenance.begin(target, mHostsStayInMaintenance);
                return StandInStore.Response.of(200);
            }
        }
        ObjectNode conflict = StandInHttp.object().put("Reason", "busy");
        return new StandInStore.Response(409, conflict);
    }

    /** Stops the service; the future completes once its server has stopped. */
    CompletableFuture<Void> stop() {
        mListUnavailable = false;
        return mHttp.stop();
    }
}
