package org.marigoldturn.scheduling;

import java.util.List;
import org.marigoldturn.jobs.AdviceSettings;

/**
 * A request that asks the policy service which of the targets may run a step. Immutable.
 *
 * @param jobId id of the job
 * @param occurrence occurrence of the job, from 0
 * @param step number of the step, from 0
 * @param targets targets for which the service decides
 * @param settings response times of the service and validity of its tickets
 */
public record AdviceRequest(
        String jobId,
        int occurrence,
        int step,
        List<TargetState> targets,
        AdviceSettings settings) {
    public AdviceRequest {
        targets = List.copyOf(targets);
    }
}
