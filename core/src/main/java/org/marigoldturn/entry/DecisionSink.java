package org.marigoldturn.entry;

/**
 * Receives the decisions about requests, so that operators can look them up. Thread safe; never
 * blocks.
 */
@FunctionalInterface
public interface DecisionSink {
    /**
     * Records one decision.
     *
     * @param step name of the filter that decided
     * @param detail the decision and its reason; must contain no secret
     */
    void add(String requestId, String step, String detail);
}
