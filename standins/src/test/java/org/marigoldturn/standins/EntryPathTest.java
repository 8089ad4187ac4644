package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.settings.TargetProtocol;

/** Tests the caller port with stand-ins for targets that have faults. */
class EntryPathTest {
    private static final String BODY = "class 4, plot 12";
    private static final String LARGE_BODY = "x".repeat(150_000);
    private static final String NOT_RUN = "not-run";
    private static final String UNKNOWN = "unknown";

    static String newId() {
        return RequestId.generate(System.currentTimeMillis(), new Random()).toString();
    }

    private static String outcome(AggregatedHttpResponse response) {
        return response.headers().get("marigoldturn-outcome", "none");
    }

    static RequestHeadersBuilder post(EntryFixture fixture, String id) {
        return fixture.headers(HttpMethod.POST).set("marigoldturn-request-id", id);
    }

    /** Guards against responses to another request, and keys that are forwarded to targets. */
    @Property(tries = 4, seed = "4061")
    void eachCallerGetsItsOwnResponse(@ForAll TargetProtocol protocol) {
        if (protocol == TargetProtocol.H1 || protocol == TargetProtocol.H2) {
            return;
        }
        try (EntryFixture fixture = new EntryFixture(3, protocol)) {
            List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                RequestHeadersBuilder headers = fixture.headers(HttpMethod.POST);
                headers.setInt("x-run-millis", i % 7).set("marigoldturn-deadline-millis", "10000");
                responses.add(fixture.send(headers, BODY + i));
                if (i % 40 == 39) {
                    responses.forEach(CompletableFuture::join);
                }
            }
            for (int i = 0; i < responses.size(); i++) {
                assertThat(responses.get(i).join().contentUtf8()).isEqualTo(BODY + i);
                assertThat(responses.get(i).join().headers().contains("marigoldturn-request-id"))
                        .isTrue();
            }
            assertThat(fixture.runs()).isEqualTo(200);
            fixture.awaitAllRightsReleased();
        }
    }

    /** Guards against a truncated response that looks complete to the caller. */
    @Example
    void aTruncatedResponseIsNeverASuccess() {
        for (TargetProtocol protocol : List.of(TargetProtocol.H2C, TargetProtocol.H1C)) {
            for (TargetFault fault : List.of(TargetFault.TRUNCATE, TargetFault.SHORT)) {
                try (EntryFixture fixture = new EntryFixture(1, protocol)) {
                    fixture.mTargets.get(0).setFault(fault, 0);
                    String id = newId();
                    boolean success =
                            fixture.sendHttp1(post(fixture, id), LARGE_BODY)
                                    .handle((r, t) -> t == null && r.status().isSuccess())
                                    .join();
                    assertThat(success).as("%s %s", protocol, fault).isFalse();
                    assertThat(fixture.runs(id)).hasSize(1);
                    id = newId();
                    success =
                            fixture.send(post(fixture, id), LARGE_BODY)
                                    .handle((r, t) -> t == null && r.status().isSuccess())
                                    .join();
                    assertThat(success).as("%s %s", protocol, fault).isFalse();
                    assertThat(fixture.runs(id)).hasSize(1);
                    if (protocol == TargetProtocol.H2C && fault == TargetFault.TRUNCATE) {
                        // A reset by the target proves that the run has ended, without a usage
                        // report.
                        fixture.awaitAllRightsReleased();
                    }
                    EntryFixture.await("response sent", () -> fixture.mDrain.active() == 0);
                    fixture.reportNothingRuns();
                    fixture.awaitAllRightsReleased();
                }
            }
        }
    }

    /** Guards against rights that are released while the target still runs the request. */
    @Example
    void aLateResponseKeepsItsRightsUntilItEnds() {
        try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
            fixture.mTargets.forEach(target -> target.setFault(TargetFault.SLOW, 700));
            String id = newId();
            RequestHeadersBuilder headers =
                    post(fixture, id).set("marigoldturn-deadline-millis", "200");
            AggregatedHttpResponse response = fixture.send(headers, BODY).join();
            assertThat(response.status().code()).isEqualTo(504);
            assertThat(outcome(response)).isEqualTo(UNKNOWN);
            assertThat(fixture.mRights.acquired()).isEqualTo(2);
            assertThat(fixture.mEntry.callerService().abandonedAttempts().size()).isEqualTo(1);
            fixture.awaitAllRightsReleased();
            assertThat(fixture.mEntry.callerService().abandonedAttempts().size()).isZero();
            assertThat(fixture.runs(id)).hasSize(1);
        }
    }

    /** Guards against idempotent requests that wait for a silent host until their deadline. */
    @Example
    void anIdempotentRequestIsRetriedWhenItsHostIsSilent() {
        try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
            fixture.mTargets.get(0).setFault(TargetFault.SILENT, 0);
            int retried = 0;
            // The choice between two equally loaded hosts is random.
            for (int i = 0; i < 100 && retried == 0; i++) {
                String id = newId();
                RequestHeadersBuilder headers =
                        post(fixture, id)
                                .set("marigoldturn-idempotent", "true")
                                .set("marigoldturn-deadline-millis", "600");
                assertThat(fixture.send(headers, BODY).join().contentUtf8()).isEqualTo(BODY);
                retried += fixture.runs(id).size() == 2 ? 1 : 0;
            }
            assertThat(retried).isPositive();
            int silent = fixture.mTargets.get(0).records().running().size();
            assertThat(fixture.mRights.acquired()).isEqualTo(2 * silent);
        }
    }

    /** Guards against a non-idempotent request that is sent twice, and rights that are lost. */
    @Example
    void aSilentHostMakesANonIdempotentRequestUnknown() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            fixture.mTargets.get(0).setFault(TargetFault.SILENT, 0);
            String id = newId();
            RequestHeadersBuilder headers =
                    post(fixture, id).set("marigoldturn-deadline-millis", "200");
            assertThat(outcome(fixture.send(headers, BODY).join())).isEqualTo(UNKNOWN);
            assertThat(fixture.runs(id)).hasSize(1);
            assertThat(fixture.mRights.acquired()).isEqualTo(2);
            var abandoned = fixture.mEntry.callerService().abandonedAttempts();
            long later = System.currentTimeMillis() + 3_000;
            assertThat(abandoned.onUsageReport("h0", later, Set.of(id))).isZero();
            assertThat(abandoned.onUsageReport("h0", System.currentTimeMillis(), Set.of()))
                    .isZero();
            assertThat(abandoned.onUsageReport("h0", later, Set.of())).isEqualTo(1);
            fixture.awaitAllRightsReleased();
        }
    }

    /** Guards against requests that fail because one host refuses connections. */
    @Example
    void aRefusedConnectionIsRetriedForEveryRequest() {
        try (EntryFixture fixture = new EntryFixture(4, TargetProtocol.H2C)) {
            fixture.stopTarget(0);
            for (int i = 0; i < 60; i++) {
                String id = newId();
                AggregatedHttpResponse response = fixture.send(post(fixture, id), BODY).join();
                assertThat(response.status().code()).isEqualTo(200);
                assertThat(fixture.runs(id)).hasSize(1);
            }
            fixture.awaitAllRightsReleased();
        }
    }

    /** Guards against a false {@code unknown}, and an id that is refused after {@code not-run}. */
    @Example
    void refusedConnectionsOnAllHostsAreNotRun() {
        try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
            fixture.stopTarget(0);
            fixture.stopTarget(1);
            String id = newId();
            for (int i = 0; i < 2; i++) {
                AggregatedHttpResponse response = fixture.send(post(fixture, id), BODY).join();
                assertThat(response.status().code()).isEqualTo(503);
                assertThat(outcome(response)).isEqualTo(NOT_RUN);
                assertThat(response.headers().getInt("retry-after")).isEqualTo(1);
            }
            fixture.awaitAllRightsReleased();
        }
    }

    /** Guards against {@code not-run} or a second attempt for a request on a broken connection. */
    @Example
    void aBrokenConnectionIsUnknown() {
        for (TargetFault fault : List.of(TargetFault.RESET_BEFORE, TargetFault.RESET_AFTER)) {
            try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
                fixture.mTargets.forEach(target -> target.setFault(fault, 0));
                String id = newId();
                AggregatedHttpResponse response = fixture.send(post(fixture, id), BODY).join();
                assertThat(outcome(response)).as("%s", fault).isEqualTo(UNKNOWN);
                assertThat(fixture.runs(id).size()).isLessThanOrEqualTo(1);
                // The lost connection does not prove that the run has ended.
                assertThat(fixture.mRights.acquired()).isEqualTo(2);
            }
        }
    }

    /** Guards against connections that stop delivering and are used until every deadline passes. */
    @Example
    void aConnectionThatStopsDeliveringIsReplaced() throws IOException {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C);
                StallingRelay relay = new StallingRelay(fixture.mTargets.get(0).port())) {
            fixture.setPort(relay.port());
            RequestHeadersBuilder headers = post(fixture, newId());
            assertThat(fixture.send(headers, BODY).join().contentUtf8()).isEqualTo(BODY);
            relay.stall();
            headers = post(fixture, newId()).set("marigoldturn-deadline-millis", "60000");
            long start = System.nanoTime();
            AggregatedHttpResponse lost = fixture.send(headers, BODY).join();
            assertThat(outcome(lost)).isEqualTo(UNKNOWN);
            // A PING is sent after 5 s, and its acknowledgement is awaited for 10 s at most.
            assertThat(System.nanoTime() - start).isLessThan(16_000_000_000L);
            // The target may have received and run the request.
            assertThat(fixture.mRights.acquired()).isEqualTo(2);
            headers = post(fixture, newId());
            assertThat(fixture.send(headers, BODY).join().contentUtf8()).isEqualTo(BODY);
        }
    }

    /** Guards against bodies over the limit of the service, with and without content-length. */
    @Example
    void aBodyTooLargeIsRefusedWithAProblem() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            String body = "x".repeat((int) EntryFixture.MAX_BODY_BYTES + 1);
            AggregatedHttpResponse withLength =
                    fixture.send(fixture.headers(HttpMethod.POST), body).join();
            checkTooLarge(withLength);
            HttpRequestWriter streamed =
                    HttpRequest.streaming(fixture.headers(HttpMethod.POST).build());
            HttpResponse response = fixture.client().execute(streamed);
            streamed.write(HttpData.ofUtf8(body));
            streamed.close();
            checkTooLarge(response.aggregate().join());
            assertThat(fixture.runs()).isZero();
        }
    }

    private static void checkTooLarge(AggregatedHttpResponse response) {
        assertThat(response.status().code()).isEqualTo(413);
        assertThat(outcome(response)).isEqualTo(NOT_RUN);
        assertThat(response.contentType().toString()).isEqualTo("application/problem+json");
    }

    /** Guards against a request that runs twice because it was sent again with its id. */
    @Example
    void aRepeatedIdDoesNotRunAgain() {
        try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
            String id = newId();
            assertThat(fixture.send(post(fixture, id), BODY).join().status().code()).isEqualTo(200);
            AggregatedHttpResponse second = fixture.send(post(fixture, id), BODY).join();
            assertThat(second.status().code()).isEqualTo(409);
            assertThat(outcome(second)).isEqualTo(UNKNOWN);
            assertThat(second.contentUtf8()).contains("duplicate-request-id");
            assertThat(fixture.runs(id)).hasSize(1);
        }
    }

    /** Guards against a start after the confirmation has expired or the key was revoked. */
    @Example
    void aWaitingRequestIsCheckedAgainBeforeItStarts() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            fixture.mRights.setLimit("team:club", 1);
            var running = fixture.send(slow(fixture, 400), BODY);
            EntryFixture.await("first runs", () -> fixture.runs() == 1);
            String unconfirmedId = newId();
            var unconfirmed = fixture.send(post(fixture, unconfirmedId), BODY);
            EntryFixture.await("second waits", () -> fixture.queued() == 1);
            fixture.setConfirmed(false);
            assertThat(running.join().status().code()).isEqualTo(200);
            assertThat(outcome(unconfirmed.join())).isEqualTo(NOT_RUN);
            assertThat(unconfirmed.join().headers().contains("retry-after")).isTrue();
            assertThat(outcome(fixture.send(post(fixture, newId()), BODY).join()))
                    .isEqualTo(NOT_RUN);
            fixture.setConfirmed(true);
            var holding = fixture.send(slow(fixture, 400), BODY);
            EntryFixture.await("third runs", () -> fixture.runs() == 2);
            var revoked = fixture.send(post(fixture, newId()), BODY);
            EntryFixture.await("fourth waits", () -> fixture.queued() == 1);
            fixture.revokeKeys();
            assertThat(holding.join().status().code()).isEqualTo(200);
            assertThat(revoked.join().status().code()).isEqualTo(401);
            assertThat(fixture.runs()).isEqualTo(2);
            fixture.awaitAllRightsReleased();
        }
    }

    /**
     * Guards against requests that wait until their deadline at a daemon which may not start them,
     * although another daemon could.
     */
    @Example
    void waitingRequestsAreRefusedWithoutAConfirmation() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            fixture.mRights.setLimit("host:h0", 0);
            var waiting =
                    fixture.send(
                            post(fixture, newId()).setInt("marigoldturn-deadline-millis", 600_000),
                            BODY);
            EntryFixture.await("request waits", () -> fixture.queued() == 1);
            fixture.setConfirmed(false);
            assertThat(outcome(waiting.join())).isEqualTo(NOT_RUN);
            assertThat(waiting.join().contentUtf8()).contains("not-confirmed");
            assertThat(waiting.join().headers().contains("retry-after")).isTrue();
            assertThat(fixture.queued()).isZero();
            fixture.awaitAllRightsReleased();
        }
    }

    private static RequestHeadersBuilder slow(EntryFixture fixture, int millis) {
        return fixture.headers(HttpMethod.POST).setInt("x-run-millis", millis);
    }

    /** Guards against queue entries that remain after their callers have disconnected. */
    @Example
    void manyDisconnectsEmptyTheQueue() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            fixture.mRights.setLimit("team:club", 1);
            var running = fixture.send(slow(fixture, 1_000), BODY);
            EntryFixture.await("first runs", () -> fixture.runs() == 1);
            List<HttpResponse> waiting = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                HttpRequest request =
                        HttpRequest.of(slow(fixture, 0).build(), HttpData.ofUtf8(BODY));
                waiting.add(fixture.client().execute(request));
            }
            EntryFixture.await("queue is full", () -> fixture.queued() == 50);
            AggregatedHttpResponse refused = fixture.send(slow(fixture, 0), BODY).join();
            assertThat(refused.status().code()).isEqualTo(429);
            waiting.forEach(HttpResponse::abort);
            EntryFixture.await("queue is empty", () -> fixture.queued() == 0);
            assertThat(running.join().status().code()).isEqualTo(200);
            assertThat(fixture.runs()).isEqualTo(1);
            fixture.awaitAllRightsReleased();
        }
    }

    /** Guards against requests that fail because of a planned stop. */
    @Example
    void aDrainInterruptsNoCaller() {
        try (EntryFixture fixture = new EntryFixture(2, TargetProtocol.H2C)) {
            List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                responses.add(fixture.send(slow(fixture, 150), BODY));
            }
            EntryFixture.await("all arrived", () -> fixture.mDrain.active() == 30);
            assertThat(fixture.mEntry.isReady()).isTrue();
            fixture.mDrain.begin(System.currentTimeMillis());
            assertThat(fixture.mEntry.isReady()).isFalse();
            responses.add(fixture.send(slow(fixture, 10), BODY));
            responses.forEach(a -> assertThat(a.join().status().code()).isEqualTo(200));
            long afterDelay = System.currentTimeMillis() + EntryFixture.DRAIN_DELAY_MILLIS;
            EntryFixture.await("drained", () -> fixture.mDrain.isDrained(afterDelay));
            EntryFixture.await("delay over", () -> System.currentTimeMillis() > afterDelay);
            assertThat(outcome(fixture.send(slow(fixture, 0), BODY).join())).isEqualTo(NOT_RUN);
        }
    }
}
