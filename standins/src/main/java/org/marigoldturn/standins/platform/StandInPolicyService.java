package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for the policy service, which decides which targets may run a step and issues tickets
 * for them.
 *
 * <p>It handles one call at a time, each in 20 ms. The same targets are allowed for all steps.
 * Thread safe.
 */
public final class StandInPolicyService implements AutoCloseable {
    private static final long DECISION_MILLIS = 20;

    private final StandInHttp mHttp = new StandInHttp(this::handle);
    private final Set<String> mAllowed = ConcurrentHashMap.newKeySet();

    /** Returns the address of the service. */
    public String address() {
        return mHttp.address();
    }

    /** Allows a target to run all steps. */
    public void allow(String targetId) {
        mAllowed.add(targetId);
    }

    /** Returns whether a ticket is valid for the step of a task on a target. */
    static boolean isTicket(String ticket, String task, String targetId) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return ticket.equals(ticket(step, targetId));
    }

    private static String ticket(String step, String targetId) {
        return "ticket/" + step + "/" + targetId;
    }

    private synchronized StandInStore.Response handle(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException {
        Thread.sleep(DECISION_MILLIS);
        String step = body.path("Step").asText();
        ObjectNode response = StandInHttp.object();
        var good = response.putArray("Good");
        for (JsonNode worker : body.path("Workers")) {
            if (mAllowed.contains(worker.asText())) {
                good.addArray().add(worker.asText()).add(ticket(step, worker.asText()));
            }
        }
        return new StandInStore.Response(200, response);
    }

    /** Stops the service; the future completes once its server has stopped. */
    CompletableFuture<Void> stop() {
        return mHttp.stop();
    }

    @Override
    public void close() {
        stop().join();
    }
}
