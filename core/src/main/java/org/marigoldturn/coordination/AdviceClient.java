package org.marigoldturn.coordination;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.AdviceQuestion;

/** Port to the service that decides which targets may run a step. Thread safe, never blocks. */
public interface AdviceClient {
    /**
     * Asks a question.
     *
     * @return a ticket by the id of each target that may run the step; fails if the service does
     *     not answer or is asked too often
     */
    CompletableFuture<Map<String, String>> ask(AdviceQuestion question);
}
