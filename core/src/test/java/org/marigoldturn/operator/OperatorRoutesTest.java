package org.marigoldturn.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.marigoldturn.fleet.FleetFixture;
import org.marigoldturn.membership.AcceptanceResult;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.SettingsException;
import org.marigoldturn.settings.ZoneState;

/** Calls the operator routes through a real HTTP server. */
class OperatorRoutesTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TestOperator mOperator = new TestOperator(FleetFixture.settings(36, 20));

    @AfterProperty
    void stop() {
        mOperator.close();
    }

    /** Guards against routes that can be called without the operator token. */
    @Example
    void everyRouteExceptHealthNeedsTheToken() {
        for (String path : List.of("/v1/settings", "/v1/pools", "/metrics", "/none")) {
            RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, path);
            assertThat(execute(headers, "").status().code()).as(path).isEqualTo(401);
        }
        RequestHeaders wrong =
                RequestHeaders.of(HttpMethod.GET, "/v1/pools", "authorization", "Bearer x");
        assertThat(execute(wrong, "").status().code()).isEqualTo(401);
        RequestHeaders health = RequestHeaders.of(HttpMethod.GET, "/health");
        assertThat(execute(health, "").status().code()).isEqualTo(200);
    }

    /** Guards against a result "accepted" while a daemon may still serve an older version. */
    @Example
    void changeIsAcceptedOnlyWhenInForceEverywhere() throws IOException {
        JsonNode accepted = call(HttpMethod.PUT, "/v1/pools/quarry", "{\"spare\":true}", 200);
        assertThat(accepted.path("result").asText()).isEqualTo("accepted");
        mOperator.mAcceptance = new AcceptanceResult(false, List.of("d7"));
        JsonNode pending = call(HttpMethod.DELETE, "/v1/pools/quarry", "", 202);
        assertThat(pending.path("result").asText()).isEqualTo("committed, not yet confirmed");
        assertThat(pending.path("missingMembers").get(0).asText()).isEqualTo("d7");
        assertThat(call(HttpMethod.GET, "/v1/pools/quarry", "", 404).path("reason").asText())
                .isEqualTo("not-found");
    }

    /** Guards against a lost update when the operator states the version that was read. */
    @Example
    void conflictNamesTheWinningChange() throws IOException {
        call(HttpMethod.PUT, "/v1/pools/quarry", "{}", 200, "marigoldturn-author", "rosa");
        JsonNode conflict =
                call(
                        HttpMethod.PUT,
                        "/v1/pools/quarry",
                        "{\"spare\":true}",
                        409,
                        "if-version",
                        "1");
        assertThat(conflict.path("author").asText()).isEqualTo("rosa");
        assertThat(conflict.path("version").asLong()).isEqualTo(2);
        assertThat(conflict.path("changeId").asText()).isNotEmpty();
    }

    /** Guards against conflicts with changes of other paths or of the planner. */
    @Example
    void onlyConcurrentChangesOfTheSamePathConflict() throws IOException {
        PoolSettings concurrent = new PoolSettings("quarry", true);
        mOperator.mCommitter.commitBeforeNext("rosa", new SettingsEdit.PutPool(concurrent));
        call(HttpMethod.PUT, "/v1/pools/meadow", "{}", 200);
        mOperator.mCommitter.commitBeforeNext(
                "rosa", new SettingsEdit.PutPool(new PoolSettings("meadow", true)));
        call(HttpMethod.PUT, "/v1/pools/meadow", "{\"spare\":false}", 409);
        FleetPolicy policy = FleetPolicy.DEFAULT.withMoves(Map.of("h9", "marks"), Map.of());
        mOperator.mCommitter.commitBeforeNext("planner", new SettingsEdit.PutPolicy(policy));
        call(HttpMethod.POST, "/v1/wave/pause", "", 200);
        FleetPolicy result = mOperator.mCommitter.state().settings().policy();
        assertThat(result.pendingMoves()).containsKey("h9");
        assertThat(result.wave().status()).isEqualTo(FleetPolicy.WaveStatus.PAUSED);
    }

    /** Guards against a change that is applied twice after its response was lost. */
    @Example
    void repeatedChangeIdIsCommittedOnce() throws IOException {
        for (int i = 0; i < 2; i++) {
            JsonNode response =
                    call(
                            HttpMethod.PUT,
                            "/v1/pools/quarry",
                            "{}",
                            200,
                            "marigoldturn-change-id",
                            "same");
            assertThat(response.path("version").asLong()).isEqualTo(2);
        }
        call(HttpMethod.PUT, "/v1/pools/q", "{}", 400, "marigoldturn-change-id", "a/b");
    }

    /**
     * Guards against a zone drain that exceeds a budget without force, and a dry run with effects.
     */
    @Example
    void zoneDrainIsRefusedByBudgetsAndDryRunChangesNothing() throws IOException {
        JsonNode dryRun = call(HttpMethod.POST, "/v1/zones/z0/drain?dryRun=true", "", 200);
        assertThat(dryRun.path("refused").asBoolean()).isTrue();
        JsonNode refused = call(HttpMethod.POST, "/v1/zones/z0/drain", "", 422);
        assertThat(refused.path("reason").asText()).isEqualTo("budget-exceeded");
        assertThat(refused.path("shortfalls")).hasSize(3);
        call(HttpMethod.POST, "/v1/zones/z0/drain?dryRun=true&force=true", "", 200);
        assertThat(mOperator.mCommitter.state().version()).isEqualTo(1);
        call(HttpMethod.POST, "/v1/zones/z0/drain?force=true", "", 200);
        assertThat(mOperator.mCommitter.state().settings().zones().get("z0").state())
                .isEqualTo(ZoneState.OUT_OF_SERVICE);
        call(HttpMethod.POST, "/v1/zones/z0/restore", "", 200);
        call(HttpMethod.POST, "/v1/zones/none/drain", "", 404);
    }

    /** Guards against a settings file that restores drained zones or hosts in maintenance. */
    @Example
    void appliedFileKeepsOperationalState() throws IOException {
        call(HttpMethod.POST, "/v1/hosts/h6/drain", "", 200);
        call(HttpMethod.POST, "/v1/zones/z0/drain?force=true", "", 200);
        JsonNode shown = call(HttpMethod.GET, "/v1/settings/file", "", 200);
        String file = shown.path("file").asText().replace("out-of-service", "in-service");
        file = file.replace("draining", "in-service").replace("spare: true", "spare: false");
        assertThat(call(HttpMethod.POST, "/v1/settings/diff", file, 200).path("differences"))
                .hasSize(1);
        call(HttpMethod.PUT, "/v1/settings", file, 200);
        var settings = mOperator.mCommitter.state().settings();
        assertThat(settings.zones().get("z0").state()).isEqualTo(ZoneState.OUT_OF_SERVICE);
        assertThat(settings.hosts().get("h6").state()).isEqualTo(HostState.DRAINING);
        String moved = "{\"pool\":\"marks\",\"zone\":\"z0\",\"address\":\"127.0.0.1\",\"port\":1}";
        assertThat(call(HttpMethod.PUT, "/v1/hosts/h0", moved, 400).path("detail").asText())
                .contains("host move h0 marks");
    }

    /** Guards against errors in a settings file that name neither path nor line. */
    @Example
    void invalidSettingsNamePathAndLine() throws IOException {
        JsonNode unknown =
                call(HttpMethod.POST, "/v1/settings/check", "pools:\n  a: {nam: a}\n", 422);
        assertThat(unknown.path("errors").get(0).path("path").asText()).isEqualTo("pools/a/nam");
        assertThat(unknown.path("errors").get(0).path("line").asInt()).isEqualTo(2);
        JsonNode duplicate =
                call(HttpMethod.PUT, "/v1/settings", "hosts:\n  h: {}\n  h: {}\n", 422);
        assertThat(duplicate.path("errors").get(0).path("message").asText()).contains("h");
    }

    /** Guards against a store failure that is reported as success or as an unclear error. */
    @Example
    void unreachableStoreIsReported() throws IOException {
        mOperator.mCommitter.failWith(new SettingsException("store is unavailable", null));
        JsonNode problem = call(HttpMethod.PUT, "/v1/pools/quarry", "{}", 503);
        assertThat(problem.path("reason").asText()).isEqualTo("store-unavailable");
    }

    /**
     * Guards against keys that stay, hosts that move undrained, and waves that cannot be paused.
     */
    @Example
    void keysHostsAndWavesAreChanged() throws IOException {
        call(HttpMethod.PUT, "/v1/teams/club", "{\"shareWeight\":1,\"runningLimit\":4}", 200);
        String key = "{\"saltHex\":\"00\",\"hashHex\":\"11\"}";
        call(HttpMethod.PUT, "/v1/teams/club/keys/k1", key, 200);
        call(HttpMethod.PUT, "/v1/teams/club/keys/k1", key.replace("11", "22"), 422);
        assertThat(call(HttpMethod.GET, "/v1/teams/club/keys", "", 200)).hasSize(1);
        call(HttpMethod.DELETE, "/v1/teams/club/keys/k1", "", 200);
        call(HttpMethod.DELETE, "/v1/teams/club/keys/k1", "", 404);
        call(HttpMethod.POST, "/v1/hosts/h0/move?pool=marks", "", 200);
        var settings = mOperator.mCommitter.state().settings();
        assertThat(settings.hosts().get("h0").pool()).isEqualTo("desk");
        assertThat(settings.policy().pendingMoves()).containsEntry("h0", "marks");
        call(HttpMethod.POST, "/v1/wave/pause", "", 200);
        JsonNode wave = call(HttpMethod.GET, "/v1/wave", "", 200);
        assertThat(wave.path("wave").path("status").asText()).isEqualTo("PAUSED");
        assertThat(wave.path("blockedPools")).isEmpty();
        call(HttpMethod.POST, "/v1/wave/resume", "", 200);
    }

    /** Guards against a missing status, decision record or metric. */
    @Example
    void statusExplanationsAndMetricsAreServed() throws IOException {
        for (int i = 0; i < 10; i++) {
            mOperator.mDecisions.add(new DecisionRecord("r" + i, i, "admit", "queued"));
        }
        call(HttpMethod.GET, "/v1/explain/r1", "", 404);
        assertThat(call(HttpMethod.GET, "/v1/explain/r9", "", 200).path("decisions")).hasSize(1);
        JsonNode status = call(HttpMethod.GET, "/v1/status", "", 200);
        assertThat(status.path("services").get(0).path("healthyHosts").asInt()).isEqualTo(12);
        AggregatedHttpResponse metrics = execute(headers(HttpMethod.GET, "/metrics").build(), "");
        assertThat(metrics.contentUtf8()).contains("requests 7.0");
        assertThat(call(HttpMethod.GET, "/v1/settings/history", "", 200)).hasSize(1);
    }

    private JsonNode call(
            HttpMethod method, String path, String body, int status, String... headers)
            throws IOException {
        RequestHeadersBuilder builder = headers(method, path);
        for (int i = 0; i < headers.length; i += 2) {
            builder.set(headers[i], headers[i + 1]);
        }
        AggregatedHttpResponse response = execute(builder.build(), body);
        assertThat(response.status().code())
                .as("%s %s: %s", method, path, response.contentUtf8())
                .isEqualTo(status);
        return JSON.readTree(response.contentUtf8());
    }

    private static RequestHeadersBuilder headers(HttpMethod method, String path) {
        return RequestHeaders.builder(method, path)
                .set("authorization", "Bearer " + TestOperator.TOKEN);
    }

    private AggregatedHttpResponse execute(RequestHeaders headers, String body) {
        return WebClient.of(mOperator.uri())
                .execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
                .aggregate()
                .join();
    }
}
