package org.marigoldturn.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.jobs.JobRecords;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetReport;
import org.tinylog.Logger;

/**
 * Keeps the records of the jobs' progress in the store, and tells when the ends of runs may be
 * confirmed to their target, which then forgets them.
 *
 * <p>Invariant: an end is confirmed only once the store holds what the owner knows of its job's
 * state, of the tasks that are done and of the runs that failed. That includes what makes the end
 * irrelevant, such as a cancellation or an earlier end of the same task; a later owner that knew
 * neither would start the task again. Confined to the control thread.
 */
final class ProgressRecords {
    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;

    ProgressRecords(JobScheduler scheduler, GroupCommit commits) {
        mScheduler = scheduler;
        mCommits = commits;
    }

    /** Writes the progress of the jobs that have changed. */
    void storeChanges() {
        for (String jobId : mScheduler.takeChangedJobIds()) {
            mScheduler
                    .state(jobId)
                    .filter(JobState::isFinal)
                    .ifPresent(end -> Logger.info("job: event=ended id={} state={}", jobId, end));
            var unused =
                    mCommits.put(
                            StoreLayout.progress(jobId),
                            JobRecords.encode(mScheduler.progress(jobId)));
        }
    }

    /**
     * Completes once the ends of a report may be confirmed to its target. The report's changes must
     * have been passed to {@link #storeChanges} in the same control task.
     */
    CompletableFuture<Void> whenConfirmable(TargetReport report) {
        Set<String> jobIds = new HashSet<>();
        report.ends().forEach(end -> jobIds.add(end.task().jobId()));
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        for (String jobId : jobIds) {
            writes.add(mCommits.whenStored(StoreLayout.progress(jobId)));
        }
        return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
    }
}
