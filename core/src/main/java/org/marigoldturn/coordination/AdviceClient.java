package org.marigoldturn.coordination;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.AdviceRequest;

/**
 * Port to the policy service, which decides which targets may run a step. Implementations are
 * thread safe and never block.
 */
public interface AdviceClient {
    /**
     * Asks which targets may run a step.
     *
     * @return a ticket by the id of each target that may run the step; fails if the service does
     *     not respond or receives too many calls
     */
    CompletableFuture<Map<String, String>> ask(AdviceRequest request);
}
