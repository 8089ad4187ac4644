package org.marigoldturn.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Record of all runs on all targets, with the times of the host's clock. Thread safe. */
final class StandInRuns {
    private final List<Run> mEnded = new ArrayList<>();
    private final Map<String, Run> mRunning = new HashMap<>();
    private final List<Confirmation> mConfirmed = new ArrayList<>();

    /** An end as done that was confirmed to its target. */
    private record Confirmation(String target, String task, long runNumber, boolean lapsed) {}

    /** One run; one that goes on has no outcome and ends at {@link Long#MAX_VALUE}. */
    record Run(
            String task,
            long runNumber,
            String target,
            long startMillis,
            long endMillis,
            String outcome) {}

    synchronized void onStart(String target, String task, long runNumber, long millis) {
        Run run = new Run(task, runNumber, target, millis, Long.MAX_VALUE, "");
        mRunning.put(key(target, task), run);
    }

    synchronized void onEnd(String target, String task, long millis, String outcome) {
        Run run = mRunning.remove(key(target, task));
        mEnded.add(new Run(task, run.runNumber(), target, run.startMillis(), millis, outcome));
    }

    /**
     * Records that an owner has confirmed the end of a run as done.
     *
     * @param lapsed whether the target's lease has lapsed between the end and the confirmation
     */
    synchronized void onConfirmedDone(String target, String task, long runNumber, boolean lapsed) {
        mConfirmed.add(new Confirmation(target, task, runNumber, lapsed));
    }

    /** Returns the tasks with a confirmed end as done on one target. */
    synchronized List<String> confirmedDone(String target) {
        return mConfirmed.stream()
                .filter(end -> end.target().equals(target))
                .map(Confirmation::task)
                .toList();
    }

    /** Returns whether a run ended as done and its end was confirmed under the same lease. */
    synchronized boolean isConfirmedDone(Run run) {
        return run.outcome().equals("done")
                && mConfirmed.contains(
                        new Confirmation(run.target(), run.task(), run.runNumber(), false));
    }

    /**
     * Returns the pairs of runs of one task of which the later one has started before the end of
     * the other one, or after that end was confirmed as done under the same lease.
     */
    synchronized List<String> startedTwice() {
        Map<String, List<Run>> byTask =
                all().stream()
                        .sorted(Comparator.comparingLong(Run::startMillis))
                        .collect(Collectors.groupingBy(Run::task));
        List<String> twice = new ArrayList<>();
        for (List<Run> runs : byTask.values()) {
            for (int i = 1; i < runs.size(); i++) {
                Run before = runs.get(i - 1);
                if (before.endMillis() > runs.get(i).startMillis() || isConfirmedDone(before)) {
                    twice.add(before + " and " + runs.get(i));
                }
            }
        }
        return twice;
    }

    /** Returns all runs; the ones that go on are last. */
    synchronized List<Run> all() {
        List<Run> all = new ArrayList<>(mEnded);
        all.addAll(mRunning.values());
        return all;
    }

    private static String key(String target, String task) {
        return target + " " + task;
    }
}
