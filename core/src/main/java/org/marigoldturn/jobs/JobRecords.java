package org.marigoldturn.jobs;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marigoldturn.jobs.wire.JobRecord;
import org.marigoldturn.jobs.wire.ProgressRecord;
import org.marigoldturn.jobs.wire.StepRecord;
import org.marigoldturn.jobs.wire.TaskRecord;

/** Converts jobs and their progress to and from durable records. Stateless and thread safe. */
public final class JobRecords {
    private static final int END_COMPLETED = 1;
    private static final int END_FAILED = 2;
    private static final int END_CANCELLED = 3;

    private JobRecords() {}

    /** Converts a job to its record. */
    public static JobRecord toRecord(Job job) {
        JobSpec spec = job.spec();
        JobRecord.Builder record =
                JobRecord.newBuilder()
                        .setId(job.id())
                        .setQueue(job.queue())
                        .setAccount(job.account())
                        .setPayload(spec.payload())
                        .setOccurrences(spec.occurrences())
                        .setScheduled(spec.scheduled())
                        .setFirstDueEpochMillis(spec.firstDueEpochMillis())
                        .setIntervalMillis(spec.intervalMillis())
                        .setAcceptedEpochMillis(job.acceptedEpochMillis());
        spec.steps().forEach(step -> record.addSteps(toRecord(step)));
        return record.build();
    }

    private static StepRecord toRecord(StepSpec step) {
        StepSpec.Placement placement = step.placement();
        StepSpec.Traits traits = step.traits();
        return StepRecord.newBuilder()
                .setTaskCount(step.taskCount())
                .setCpuMillicores(step.needs().cpuMillicores())
                .setMemoryMegabytes(step.needs().memoryMegabytes())
                .setAccelerators(step.needs().accelerators())
                .setEstimateMillis(step.estimateMillis())
                .addAllAfter(step.after())
                .setRequiredLabel(placement.requiredLabel())
                .setPreferredRack(placement.preferredRack())
                .setMaxPerTarget(placement.maxPerTarget())
                .setSameRack(placement.sameRack())
                .setSavesProgress(traits.savesProgress())
                .setGang(traits.gang())
                .setSpeculative(traits.speculative())
                .setLongRunning(traits.longRunning())
                .setFilling(traits.usesSpareCpuOnly())
                .setImage(step.image())
                .setResponseTargetMillis(step.responseTargetMillis())
                .setMaxUnavailable(step.maxUnavailable())
                .build();
    }

    /**
     * Converts a record to its job.
     *
     * @throws IllegalArgumentException if the record describes an invalid job
     */
    public static Job fromRecord(JobRecord record) {
        List<StepSpec> steps = record.getStepsList().stream().map(JobRecords::step).toList();
        JobSpec spec =
                new JobSpec(
                        record.getPayload(),
                        steps,
                        record.getOccurrences(),
                        record.getScheduled(),
                        record.getFirstDueEpochMillis(),
                        record.getIntervalMillis());
        return new Job(
                record.getId(),
                record.getQueue(),
                record.getAccount(),
                spec,
                record.getAcceptedEpochMillis());
    }

    private static StepSpec step(StepRecord record) {
        return new StepSpec(
                record.getTaskCount(),
                new ResourceAmounts(
                        record.getCpuMillicores(),
                        record.getMemoryMegabytes(),
                        record.getAccelerators()),
                record.getEstimateMillis(),
                record.getAfterList(),
                new StepSpec.Placement(
                        record.getRequiredLabel(),
                        record.getPreferredRack(),
                        record.getMaxPerTarget(),
                        record.getSameRack()),
                new StepSpec.Traits(
                        record.getSavesProgress(),
                        record.getGang(),
                        record.getSpeculative(),
                        record.getLongRunning(),
                        record.getFilling()),
                record.getImage(),
                record.getResponseTargetMillis(),
                record.getMaxUnavailable());
    }

    /** Encodes a job as its durable record. */
    public static ByteString encode(Job job) {
        return toRecord(job).toByteString();
    }

    /**
     * Decodes a job's durable record.
     *
     * @throws IllegalArgumentException if the bytes are not a valid record
     */
    public static Job decodeJob(ByteString bytes) {
        try {
            return fromRecord(JobRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(
                    "the record of a job is not a valid protobuf message", e);
        }
    }

    /** Encodes the progress of a job as its durable record. */
    public static ByteString encode(JobProgress progress) {
        ProgressRecord.Builder record =
                ProgressRecord.newBuilder()
                        .setEnd(endOf(progress.state()))
                        .setFinishedEpochMillis(progress.finishedEpochMillis());
        for (JobProgress.TaskProgress task : progress.tasks()) {
            record.addTasks(
                    TaskRecord.newBuilder()
                            .setOccurrence(task.task().occurrence())
                            .setStep(task.task().step())
                            .setIndex(task.task().index())
                            .setDone(task.done())
                            .setFailedRuns(task.failedRuns().size())
                            .addAllFailedRunNumbers(task.failedRuns().stream().sorted().toList())
                            .setCheckpoint(task.checkpoint()));
        }
        return record.build().toByteString();
    }

    /**
     * Decodes the durable record of a job's progress.
     *
     * @throws IllegalArgumentException if the bytes are not a valid record
     */
    public static JobProgress decodeProgress(String jobId, ByteString bytes) {
        ProgressRecord record;
        try {
            record = ProgressRecord.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(
                    "the progress record of job " + jobId + " is not a valid protobuf message", e);
        }
        List<JobProgress.TaskProgress> tasks = new ArrayList<>();
        for (TaskRecord task : record.getTasksList()) {
            tasks.add(
                    new JobProgress.TaskProgress(
                            new TaskId(
                                    jobId, task.getOccurrence(), task.getStep(), task.getIndex()),
                            task.getDone(),
                            failedRunsOf(task),
                            task.getCheckpoint()));
        }
        return new JobProgress(stateOf(record.getEnd()), record.getFinishedEpochMillis(), tasks);
    }

    /**
     * Returns the numbers of the failed runs; negative ones for those of which only the count is
     * known.
     */
    private static Set<Long> failedRunsOf(TaskRecord task) {
        Set<Long> numbers = new HashSet<>(task.getFailedRunNumbersList());
        for (long unknown = 1; numbers.size() < task.getFailedRuns(); unknown++) {
            numbers.add(-unknown);
        }
        return numbers;
    }

    private static int endOf(JobState state) {
        return switch (state) {
            case QUEUED, RUNNING -> 0;
            case COMPLETED -> END_COMPLETED;
            case FAILED -> END_FAILED;
            case CANCELLED -> END_CANCELLED;
        };
    }

    private static JobState stateOf(int end) {
        return switch (end) {
            case 0 -> JobState.RUNNING;
            case END_COMPLETED -> JobState.COMPLETED;
            case END_FAILED -> JobState.FAILED;
            case END_CANCELLED -> JobState.CANCELLED;
            default ->
                    throw new IllegalArgumentException(
                            "unknown end " + end + " in a progress record; expected 0 to 3");
        };
    }
}
