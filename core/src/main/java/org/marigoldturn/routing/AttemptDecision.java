package org.marigoldturn.routing;

/** Decision on how a request continues after a failed attempt. */
public sealed interface AttemptDecision {
    /** Send the request to another host after a delay. */
    record Retry(long delayMillis) implements AttemptDecision {}

    /** Tell the caller that the request certainly did not run. */
    record FinishNotRun(String reason) implements AttemptDecision {}

    /** Tell the caller that the request may have run. */
    record FinishUnknown(String reason) implements AttemptDecision {}
}
