package org.marigoldturn.jobs;

/**
 * How a queue's policy service answers which targets may run a step. Immutable.
 *
 * @param decisionMillis time that one answer takes
 * @param perTargetMillis time that it takes more for each target named
 * @param validMillis time for which a ticket can be used
 */
public record AdviceSettings(long decisionMillis, long perTargetMillis, long validMillis) {
    /** Checks the figures. */
    public AdviceSettings {
        if (decisionMillis < 0 || perTargetMillis < 0 || validMillis < 0) {
            throw new IllegalArgumentException(
                    "negative time of advice: decisionMillis="
                            + decisionMillis
                            + " perTargetMillis="
                            + perTargetMillis
                            + " validMillis="
                            + validMillis);
        }
    }

    /** Returns the time that an answer about some targets takes. */
    public long answerMillis(int targets) {
        return decisionMillis + perTargetMillis * targets;
    }
}
