package org.marigoldturn.scheduling;

import java.util.List;
import org.marigoldturn.jobs.AdviceSettings;

/**
 * A question to the policy service: which of the targets may run a step. Immutable.
 *
 * @param jobId the job
 * @param occurrence its occurrence, from 0
 * @param step number of the step, from 0
 * @param targets the targets asked about
 * @param settings how the service answers
 */
public record AdviceQuestion(
        String jobId,
        int occurrence,
        int step,
        List<TargetState> targets,
        AdviceSettings settings) {
    public AdviceQuestion {
        targets = List.copyOf(targets);
    }
}
