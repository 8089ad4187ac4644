package org.marigoldturn.standins.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;
import org.marigoldturn.standins.TargetRecords.Run;
import org.marigoldturn.standins.measure.KeyProbe.Observation;

/**
 * Measures how long it takes until a change of a key is in force on the last of 9 daemons, and
 * until the last request starts in a drained zone. The baseline for keys is computed: each daemon
 * reads the store every 5 s, at its own phase.
 */
final class SpreadMeasurement {
    private static final int DAEMONS = 9;
    private static final int KEY_PAIRS = 15;
    private static final int DRAINS = 6;
    private static final int HOSTS = 9;
    private static final double BASELINE_READ_INTERVAL_MILLIS = 5_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MeasuredFleet mFleet;
    private final Figures mFigures;
    private final Random mRandom;
    private final Histogram mAdded = new Histogram(3);
    private final Histogram mRevoked = new Histogram(3);
    private final Histogram mAll = new Histogram(3);
    private final Histogram mResponses = new Histogram(3);
    private int mNotAccepted;
    private int mOldResultsAfterAccepted;
    private int mOtherStatuses;

    private SpreadMeasurement(MeasuredFleet fleet, Figures figures, long seed) {
        mFleet = fleet;
        mFigures = figures;
        mRandom = new Random(seed);
    }

    static void run(long seed, PrintStream out) throws Exception {
        try (MeasuredFleet fleet = new MeasuredFleet("spread")) {
            String service = MeasuredFleet.SERVICE;
            fleet.service(service).team("club", 200).team("school", 200);
            fleet.hosts(service, HOSTS, 8);
            fleet.start(DAEMONS, service, "club");
            Thread.sleep(3_000);
            new SpreadMeasurement(fleet, new Figures("spread", out), seed).measure();
        }
    }

    private void measure() throws Exception {
        for (int i = 0; i < KEY_PAIRS; i++) {
            IssuedKey key =
                    new KeyAuthenticator()
                            .issue("club", "m" + i, new SecureRandom(), System.currentTimeMillis());
            String path = "/v1/teams/club/keys/" + key.stored().id();
            String body =
                    "{\"saltHex\": \"%s\", \"hashHex\": \"%s\"}"
                            .formatted(key.stored().saltHex(), key.stored().hashHex());
            measureChange(key, HttpMethod.PUT, path, body, mAdded);
            measureChange(key, HttpMethod.DELETE, path, "", mRevoked);
        }
        print("change-in-force-on-last-daemon", mAll);
        print("new-key-works-on-last-daemon", mAdded);
        print("revoked-key-rejected-on-last-daemon", mRevoked);
        print("accepted-answer", mResponses);
        mFigures.print("answers-not-accepted", mNotAccepted, "changes");
        mFigures.print(
                "old-result-after-accepted-answer", mOldResultsAfterAccepted, "observations");
        mFigures.print("probes-with-other-status", mOtherStatuses, "requests");
        // The largest of n uniform phases has its median at 0.5^(1/n) of the interval.
        mFigures.print(
                "baseline-store-read-every-5s-computed.median",
                BASELINE_READ_INTERVAL_MILLIS * Math.pow(0.5, 1.0 / DAEMONS),
                "ms");
        mFigures.print(
                "baseline-store-read-every-5s-computed.worst", BASELINE_READ_INTERVAL_MILLIS, "ms");
        measureDrains();
    }

    private void measureChange(
            IssuedKey key, HttpMethod method, String path, String body, Histogram histogram)
            throws IOException {
        boolean added = method == HttpMethod.PUT;
        long start = System.nanoTime();
        List<CompletableFuture<Observation>> probes =
                new KeyProbe(mFleet, key.presentedKey(), added).start(DAEMONS);
        AggregatedHttpResponse response =
                mFleet.callOperatorPort(mRandom.nextInt(DAEMONS), method, path, body);
        long respondedAtNanos = System.nanoTime();
        boolean accepted = accepted(response);
        long last = start;
        for (CompletableFuture<Observation> probe : probes) {
            Observation observation = probe.join();
            last = Math.max(last, observation.changedAtNanos());
            mOtherStatuses += observation.otherStatuses();
            if (accepted && observation.lastOldSentAtNanos() > respondedAtNanos) {
                mOldResultsAfterAccepted++;
            }
        }
        histogram.recordValue((last - start) / 1_000);
        mAll.recordValue((last - start) / 1_000);
        mResponses.recordValue((respondedAtNanos - start) / 1_000);
    }

    private boolean accepted(AggregatedHttpResponse response) throws IOException {
        if (!response.status().isSuccess()) {
            throw new IllegalStateException("change failed: " + response.contentUtf8());
        }
        boolean accepted =
                JSON.readTree(response.contentUtf8()).path("result").asText().equals("accepted");
        if (!accepted) {
            mNotAccepted++;
        }
        return accepted;
    }

    private void measureDrains() throws InterruptedException {
        Histogram lastStart = new Histogram(3);
        int roundsWithStartAfterResponse = 0;
        try (ClosedLoad load =
                new ClosedLoad(
                        4 * DAEMONS,
                        0,
                        i -> mFleet.sendAs(i % DAEMONS, "school", MeasuredFleet.SERVICE, 20))) {
            for (int i = 0; i < DRAINS; i++) {
                Thread.sleep(2_000);
                int zone = mRandom.nextInt(3);
                long sent = System.currentTimeMillis();
                operateZone(zone, "drain");
                long respondedAtMillis = System.currentTimeMillis();
                Thread.sleep(4_000);
                long last = lastStartMillis(zone, sent);
                lastStart.recordValue(last - sent);
                roundsWithStartAfterResponse += last > respondedAtMillis ? 1 : 0;
                operateZone(zone, "restore");
            }
            mFigures.print("drain.failed", load.failed(), "requests");
        }
        mFigures.print("drain.last-start.median", lastStart.getValueAtPercentile(50), "ms");
        mFigures.print("drain.last-start.worst", lastStart.getMaxValue(), "ms");
        mFigures.print("drain.rounds", DRAINS, "changes");
        mFigures.print(
                "drain.starts-after-accepted-answer", roundsWithStartAfterResponse, "rounds");
    }

    private void operateZone(int zone, String action) {
        String path = "/v1/zones/z" + zone + "/" + action;
        AggregatedHttpResponse response =
                mFleet.callOperatorPort(mRandom.nextInt(DAEMONS), HttpMethod.POST, path, "");
        if (!response.status().isSuccess()) {
            throw new IllegalStateException(path + " failed: " + response.contentUtf8());
        }
    }

    /** Returns the last start in the zone, or {@code sinceMillis} if none is later. */
    private long lastStartMillis(int zone, long sinceMillis) {
        long last = sinceMillis;
        for (int i = zone; i < HOSTS; i += 3) {
            String host = MeasuredFleet.SERVICE + "-h" + i;
            for (Run run : mFleet.processes().host(host).records().runs()) {
                last = Math.max(last, run.startedAtMillis());
            }
        }
        return last;
    }

    private void print(String name, Histogram micros) {
        mFigures.print(name + ".changes", micros.getTotalCount(), "changes");
        mFigures.print(name + ".median", micros.getValueAtPercentile(50) / 1e3, "ms");
        mFigures.print(name + ".worst", micros.getMaxValue() / 1e3, "ms");
    }
}
