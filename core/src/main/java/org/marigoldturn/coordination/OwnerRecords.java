package org.marigoldturn.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobRecords;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * The records that an earlier owner left in the store. Immutable.
 *
 * @param jobs accepted jobs
 * @param progress their progress
 * @param hosts records of maintenance waves and loans of spare hosts
 * @param targets targets on which tasks may have been started
 * @param targetsComplete the record that {@code targets} has all of them; empty if it may lack some
 * @param unreadTargets the note of the targets that an owner had not read
 * @param queueServices services on whose targets the tasks of each queue may run
 */
record OwnerRecords(
        List<StoredValue> jobs,
        List<StoredValue> progress,
        List<StoredValue> hosts,
        List<StoredValue> targets,
        Optional<StoredValue> targetsComplete,
        Optional<StoredValue> unreadTargets,
        Optional<StoredValue> queueServices) {
    OwnerRecords {
        jobs = List.copyOf(jobs);
        progress = List.copyOf(progress);
        hosts = List.copyOf(hosts);
        targets = List.copyOf(targets);
    }

    /** Reads all records; fails if a page of them cannot be read. */
    static CompletableFuture<OwnerRecords> read(MetadataStore store) {
        RecordReader reader = new RecordReader(store);
        CompletableFuture<List<StoredValue>> jobs = reader.listAll(StoreLayout.JOB_PREFIX);
        CompletableFuture<List<StoredValue>> progress = reader.listAll(StoreLayout.PROGRESS_PREFIX);
        CompletableFuture<List<StoredValue>> hosts = reader.listAll(StoreLayout.HOST_PREFIX);
        CompletableFuture<List<StoredValue>> targets = reader.listAll(StoreLayout.TARGET_PREFIX);
        CompletableFuture<Optional<StoredValue>> targetsComplete =
                store.read(StoreLayout.TARGETS_COMPLETE);
        CompletableFuture<Optional<StoredValue>> unreadTargets =
                store.read(StoreLayout.UNREAD_TARGETS);
        CompletableFuture<Optional<StoredValue>> queueServices =
                store.read(StoreLayout.QUEUE_SERVICES);
        return CompletableFuture.allOf(
                        jobs,
                        progress,
                        hosts,
                        targets,
                        targetsComplete,
                        unreadTargets,
                        queueServices)
                .thenApply(
                        done ->
                                new OwnerRecords(
                                        jobs.join(),
                                        progress.join(),
                                        hosts.join(),
                                        targets.join(),
                                        targetsComplete.join(),
                                        unreadTargets.join(),
                                        queueServices.join()));
    }

    /**
     * Restores the jobs in a scheduler and passes their records' revisions to the writer.
     *
     * @return how many tasks of active jobs were restored as done
     */
    int restoreInto(JobScheduler scheduler, GroupCommit commits, long nowMillis) {
        Map<String, StoredValue> progressByKey = new HashMap<>();
        for (StoredValue value : progress) {
            commits.recordRevision(value.key(), value.modRevision());
            progressByKey.put(value.key(), value);
        }
        int doneTasks = 0;
        for (StoredValue value : jobs) {
            commits.recordRevision(value.key(), value.modRevision());
            doneTasks += restore(value, progressByKey, scheduler, nowMillis);
        }
        return doneTasks;
    }

    private static int restore(
            StoredValue value,
            Map<String, StoredValue> progress,
            JobScheduler scheduler,
            long nowMillis) {
        try {
            Job job = JobRecords.decodeJob(value.value());
            if (!StoreLayout.job(job.id()).equals(value.key())) {
                throw new IllegalArgumentException("the record is of the other job " + job.id());
            }
            StoredValue recorded = progress.get(StoreLayout.progress(job.id()));
            JobProgress known =
                    recorded == null
                            ? JobProgress.NONE
                            : JobRecords.decodeProgress(job.id(), recorded.value());
            scheduler.restore(job, known, nowMillis);
            return (int) known.tasks().stream().filter(JobProgress.TaskProgress::done).count();
        } catch (RuntimeException e) {
            // Another writer's record must not keep the other jobs from being restored.
            Logger.error(e, "owner: event=unreadable-job key={}", value.key());
            return 0;
        }
    }
}
