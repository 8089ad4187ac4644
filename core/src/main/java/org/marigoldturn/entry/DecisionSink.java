package org.marigoldturn.entry;

/** Receives the decisions about requests, for later explanation. Thread safe; never blocks. */
@FunctionalInterface
public interface DecisionSink {
    /**
     * Adds one decision.
     *
     * @param step filter that decided
     * @param detail decision and reason, without secrets
     */
    void add(String requestId, String step, String detail);
}
