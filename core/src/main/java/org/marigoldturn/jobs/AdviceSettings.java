package org.marigoldturn.jobs;

/**
 * Settings of the policy service that decides which targets may run the steps of a queue.
 * Immutable.
 *
 * @param decisionMillis time that each response takes, in addition to {@code perTargetMillis}
 * @param perTargetMillis time that a response takes for each target named in the request
 * @param validMillis time for which a ticket is valid
 */
public record AdviceSettings(long decisionMillis, long perTargetMillis, long validMillis) {
    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public AdviceSettings {
        if (decisionMillis < 0 || perTargetMillis < 0 || validMillis < 0) {
            throw new IllegalArgumentException(
                    "times of the policy service must not be negative: decisionMillis="
                            + decisionMillis
                            + " perTargetMillis="
                            + perTargetMillis
                            + " validMillis="
                            + validMillis);
        }
    }

    /** Returns the time that a response about the given number of targets takes. */
    public long responseMillis(int targets) {
        return decisionMillis + perTargetMillis * targets;
    }
}
