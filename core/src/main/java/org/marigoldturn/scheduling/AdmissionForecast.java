package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.List;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.StepSpec;

/**
 * Decides whether a job can be served within its objective, from the work ahead of it.
 *
 * <p>The forecast divides the estimated work ahead by the processors of the service's targets. It
 * answers a load that exceeds the capacity for seconds. Stateless.
 */
final class AdmissionForecast {
    /** Reason of a refusal because of the work ahead. */
    static final String OVERLOAD = "overload";

    /** A client is never sent back for longer; the load turns within seconds. */
    private static final int MAX_RETRY_AFTER_SECONDS = 5;

    private AdmissionForecast() {}

    static Admission decide(
            JobSpec spec,
            QueueSettings queue,
            List<TargetState> targets,
            Room incoming,
            Collection<JobEntry> ahead,
            long epochMillis) {
        if (targets.isEmpty()) {
            return Admission.refuse(1, "no-target", Admission.Forecast.NONE);
        }
        Room capacity = incoming;
        long freeMillicores = 0;
        for (TargetState target : targets) {
            capacity = capacity.plus(target.entry().capacity());
            freeMillicores += Math.max(0, target.free().cpuMillicores());
        }
        long chainMillis = spec.longestChainMillis();
        Admission.Forecast forecast =
                new Admission.Forecast(
                        waitMillis(capacity, ahead),
                        queue.objectiveMillis(chainMillis) - chainMillis,
                        freeMillicores,
                        capacity.cpuMillicores());
        for (StepSpec step : spec.steps()) {
            if (targets.stream().noneMatch(t -> step.claim().fitsInto(t.entry().capacity()))) {
                return Admission.refuse(MAX_RETRY_AFTER_SECONDS, "task-too-large", forecast);
            }
        }
        boolean untimed = !spec.scheduled() && !spec.isLongRunning();
        boolean waits = untimed && !fitsNow(spec.steps().get(0), targets, ahead, epochMillis);
        return waits ? decideByForecast(spec, forecast) : Admission.accept(forecast);
    }

    private static Admission decideByForecast(JobSpec spec, Admission.Forecast forecast) {
        long ownMillis =
                spec.estimatedCoreMillis() * 1_000 / Math.max(1, forecast.capacityMillicores());
        if (forecast.waitMillis() + ownMillis / 2 <= forecast.slackMillis()) {
            return Admission.accept(forecast);
        }
        long excessMillis = forecast.waitMillis() - forecast.slackMillis();
        int seconds = (int) Math.max(1, Math.min(MAX_RETRY_AFTER_SECONDS, excessMillis / 1_000));
        return Admission.refuse(seconds, OVERLOAD, forecast);
    }

    /** Returns the time in which all processors of the service do the work that is ahead. */
    private static long waitMillis(Room capacity, Collection<JobEntry> ahead) {
        long coreMillis = 0;
        for (JobEntry job : ahead) {
            coreMillis += job.waitingCoreMillis() + job.runningCoreMillis();
        }
        return coreMillis * 1_000 / Math.max(1, capacity.cpuMillicores());
    }

    /** Returns whether all tasks of a step find room, and no task that is ready waits for any. */
    private static boolean fitsNow(
            StepSpec step,
            List<TargetState> targets,
            Collection<JobEntry> ahead,
            long epochMillis) {
        if (ahead.stream().anyMatch(job -> job.hasReadyWaitingTask(epochMillis))) {
            return false;
        }
        long places = 0;
        for (TargetState target : targets) {
            places += places(step.claim(), target.free());
        }
        return places >= step.taskCount();
    }

    private static long places(Room claim, Room free) {
        long byCpu = claim.cpuMillicores() == 0 ? 99 : free.cpuMillicores() / claim.cpuMillicores();
        long byMemory =
                claim.memoryMegabytes() == 0
                        ? 99
                        : free.memoryMegabytes() / claim.memoryMegabytes();
        return Math.max(0, Math.min(byCpu, byMemory));
    }
}
