package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.settings.TargetProtocol;

/** Compares outcomes under generated faults of targets with the targets' records. */
class EntryFaultsTest {
    private static final int TEAM_LIMIT = 10;
    private static final int REQUESTS = 250;

    private record Sent(String id, boolean idempotent, CompletableFuture<String> outcome) {}

    /**
     * Guards against a non-idempotent request that runs twice, a false {@code not-run}, a response
     * without a run, more runs than the team's limit, and rights that are lost.
     */
    @Property(tries = 8, seed = "4081")
    void outcomesAgreeWithTheRecords(@ForAll long seed, @ForAll boolean multiplexed) {
        Random random = new Random(seed);
        TargetProtocol protocol = multiplexed ? TargetProtocol.H2C : TargetProtocol.H1C;
        try (EntryFixture fixture = new EntryFixture(4, protocol)) {
            fixture.mRights.setLimit("team:club", TEAM_LIMIT);
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                if (i % 25 == 0) {
                    TargetFault[] faults = TargetFault.values();
                    TargetFault fault = faults[random.nextInt(faults.length)];
                    fixture.mTargets.get(random.nextInt(4)).setFault(fault, 100);
                }
                sent.add(send(fixture, random));
                pause(random);
            }
            sent.forEach(request -> request.outcome().join());
            fixture.mTargets.forEach(target -> target.setFault(TargetFault.NONE, 0));
            sent.forEach(request -> check(fixture, request));
            assertThat(peakRunning(fixture)).isLessThanOrEqualTo(TEAM_LIMIT);
            fixture.reportNothingRuns();
            fixture.awaitAllRightsReleased();
        }
    }

    private static Sent send(EntryFixture fixture, Random random) {
        String id = RequestId.generate(System.currentTimeMillis(), random).toString();
        boolean idempotent = random.nextBoolean();
        RequestHeadersBuilder headers =
                fixture.headers(HttpMethod.POST)
                        .set("marigoldturn-request-id", id)
                        .set("marigoldturn-idempotent", Boolean.toString(idempotent))
                        .set("marigoldturn-deadline-millis", "800")
                        .set("marigoldturn-urgent", Boolean.toString(random.nextInt(5) == 0))
                        .setInt("x-run-millis", random.nextInt(30));
        String body = id.repeat(1 + random.nextInt(200));
        CompletableFuture<String> outcome =
                fixture.send(headers, body)
                        .handle((response, failure) -> outcome(response, failure, body));
        return new Sent(id, idempotent, outcome);
    }

    private static String outcome(AggregatedHttpResponse response, Throwable failure, String body) {
        if (failure != null) {
            return "reset";
        }
        if (response.status().code() == 200) {
            return response.contentUtf8().equals(body) ? "complete" : "mismatched";
        }
        return response.headers().get("marigoldturn-outcome", "failed");
    }

    private static void pause(Random random) {
        try {
            Thread.sleep(random.nextInt(8));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void check(EntryFixture fixture, Sent request) {
        int runs = fixture.runs(request.id()).size();
        String outcome = request.outcome().join();
        assertThat(runs).isLessThanOrEqualTo(request.idempotent() ? 3 : 1);
        switch (outcome) {
            case "not-run" -> assertThat(runs).isZero();
            case "complete" -> assertThat(runs).isPositive();
            default -> assertThat(outcome).isIn("unknown", "reset", "failed");
        }
    }

    /** Returns the largest number of runs at the same time over all hosts. */
    private static int peakRunning(EntryFixture fixture) {
        Map<Long, Integer> changes = new HashMap<>();
        for (TargetServer target : fixture.mTargets) {
            for (TargetRecords.Run run : target.records().runs()) {
                changes.merge(run.startedAtMillis(), 1, Integer::sum);
                if (run.endedAtMillis() > 0) {
                    changes.merge(run.endedAtMillis(), -1, Integer::sum);
                }
            }
        }
        int running = 0;
        int peak = 0;
        for (Long time : changes.keySet().stream().sorted().toList()) {
            running += changes.get(time);
            peak = Math.max(peak, running);
        }
        return peak;
    }
}
