package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.function.Predicate;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.StepSpec;

/**
 * Decides whether to accept a submitted job, by forecasting whether it can meet its objective.
 *
 * <p>The forecast divides the estimated backlog by the processors of the service. It protects
 * against loads that exceed the capacity for a few seconds. While the view of the service is
 * partial, the caller passes only the work that is known to wait, and the capacity includes targets
 * that have not been read, so that nothing is refused because of what is not known. Stateless.
 */
final class AdmissionForecast {
    private AdmissionForecast() {}

    /**
     * A submission and what competes with it.
     *
     * @param coreMillis expected work of the job, in thousandths of a core-second
     * @param backlog work that is served before the job
     * @param jobsAhead jobs whose waiting tasks start before those of the job
     * @param mayStart returns whether the tasks of a job may start now
     */
    record Submission(
            JobSpec spec,
            QueueSettings queue,
            long coreMillis,
            BacklogForecast backlog,
            Collection<JobEntry> jobsAhead,
            Predicate<JobEntry> mayStart) {}

    /** Decides on a submission. */
    static Admission decide(Submission submission, ServiceView view, long epochMillis) {
        if (!view.hasTargets()) {
            return Admission.refuse(1, "no-target", Admission.Forecast.NONE);
        }
        JobSpec spec = submission.spec();
        StepSpec firstStep = spec.steps().get(0);
        long capacityMillicores = view.capacity().cpuMillicores();
        Admission.Forecast forecast =
                new Admission.Forecast(
                        submission.backlog().waitMillis(capacityMillicores),
                        slackMillis(spec, submission.queue()),
                        view.freeMillicores(),
                        capacityMillicores,
                        view.unread().size(),
                        FreeRoom.fits(firstStep, view.usable()));
        for (StepSpec step : spec.steps()) {
            if (!view.hasTargetFor(step.reservedResources())) {
                return Admission.refuse(
                        Admission.MAX_RETRY_AFTER_SECONDS, "task-too-large", forecast);
            }
        }
        boolean needsForecast = !spec.scheduled() && !spec.isLongRunning();
        boolean startsNow =
                FreeRoom.fitsBeside(
                        firstStep,
                        view.usable(),
                        submission.jobsAhead(),
                        submission.mayStart(),
                        epochMillis);
        return needsForecast && !startsNow
                ? decideByForecast(submission.coreMillis(), forecast)
                : Admission.accept(forecast);
    }

    /** Returns for how long a job may wait and meet its objective. */
    private static long slackMillis(JobSpec spec, QueueSettings queue) {
        long chainMillis = spec.longestChainMillis();
        return queue.objectiveMillis(chainMillis) - chainMillis;
    }

    private static Admission decideByForecast(long coreMillis, Admission.Forecast forecast) {
        long ownMillis = coreMillis * 1_000 / Math.max(1, forecast.capacityMillicores());
        if (forecast.waitMillis() + ownMillis / 2 <= forecast.slackMillis()) {
            return Admission.accept(forecast);
        }
        return Admission.refuse(1, Admission.OVERLOAD, forecast);
    }
}
