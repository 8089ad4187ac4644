package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.tinylog.Logger;

/**
 * Runs real daemons under overlapping faults while clients submit jobs.
 *
 * <p>No accepted job may be lost, and no task may run twice at the same time, or again after its
 * end was confirmed before the lease of its target has lapsed. The system properties {@code
 * soak.seed} and {@code soak.steps} select other faults and a longer run.
 */
class PlatformSoakTest {
    private static final long SEED = Long.getLong("soak.seed", 37);
    private static final int STEPS = Integer.getInteger("soak.steps", 12);
    private static final int FIRST_ADDRESS_BYTE = Integer.getInteger("soak.address", 121);
    private static final int CLIENTS = 3;

    private final List<String> mTargets = new ArrayList<>();
    private PlatformFleet mFleet;
    private StandInPlatform mPlatform;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mFleet = new PlatformFleet(Files.createTempDirectory("platform-soak"), FIRST_ADDRESS_BYTE);
        mPlatform = mFleet.platform();
        for (int i = 0; i < SoakFaults.TARGETS; i++) {
            mTargets.add(mPlatform.addTarget("service", "h" + i, 300));
        }
        for (int i = 0; i < SoakFaults.DAEMONS; i++) {
            mFleet.startDaemon();
        }
    }

    @AfterTry
    void stop() {
        mFleet.close();
    }

    @Example
    void keepsAcceptedJobsAndRunsNothingTwice() throws Exception {
        List<SoakClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new SoakClient(mFleet, i, SEED));
        }
        clients.forEach(SoakClient::start);
        SoakFaults faults = new SoakFaults(mFleet, mTargets, SEED);
        try {
            faults.inject(STEPS);
        } finally {
            faults.endAll();
            for (SoakClient client : clients) {
                client.finish();
            }
        }
        String history = "seed " + SEED + ", faults " + faults.history();

        Set<String> shortJobs = accepted(clients, false);
        Set<String> longRunning = accepted(clients, true);
        Logger.info(
                "soak: shortJobs={} longRunningJobs={} {}",
                shortJobs.size(),
                longRunning.size(),
                history);
        assertThat(shortJobs).isNotEmpty();
        assertThat(longRunning).isNotEmpty();
        awaitAll(history + ": jobs that are not completed", shortJobs, this::isCompleted);
        awaitAll(history + ": long-running jobs without a run", longRunning, this::runs);
        assertNoneTwice(history);
    }

    private interface Check {
        boolean holds(String jobId);
    }

    /** Waits until a check holds for all jobs at once. */
    private void awaitAll(String what, Set<String> jobIds, Check check)
            throws InterruptedException {
        Set<String> open = new HashSet<>(jobIds);
        try {
            PlatformFleet.await(
                    what,
                    () -> {
                        open.removeIf(check::holds);
                        return open.isEmpty();
                    });
        } catch (IllegalStateException e) {
            assertThat(open).as(what).isEmpty();
        }
    }

    private boolean isCompleted(String jobId) {
        try {
            return mFleet.queryState(0, jobId).contentUtf8().contains("completed");
        } catch (CompletionException e) {
            Logger.info(e, "no response to the status query for {}", jobId);
            return false;
        }
    }

    private boolean runs(String jobId) {
        mPlatform.countRunning();
        return mPlatform.runs().all().stream()
                .anyMatch(run -> run.task().startsWith(jobId) && run.outcome().isEmpty());
    }

    private void assertNoneTwice(String history) {
        mPlatform.countRunning();
        assertThat(mPlatform.runs().startedTwice()).as(history).isEmpty();
    }

    private static Set<String> accepted(List<SoakClient> clients, boolean longRunning) {
        return clients.stream()
                .flatMap(client -> client.accepted(longRunning).stream())
                .collect(Collectors.toSet());
    }
}
