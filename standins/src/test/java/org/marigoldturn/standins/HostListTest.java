package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.QueryParams;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.store.HostDirectoryException;
import org.marigoldturn.store.HostListQuery;
import org.marigoldturn.store.HostListResponse;
import org.marigoldturn.store.HostPresence;
import org.marigoldturn.store.HostUsage;
import org.marigoldturn.store.HttpHostDirectory;

/** Guards against faults of the host list that its adapter mishandles, and of the stand-in. */
class HostListTest {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final HostListQuery COMPLETE = new HostListQuery("", 0, Set.of());

    private final StoreServer mServer = new StoreServer(0);
    private final URI mEndpoint = URI.create("http://127.0.0.1:" + mServer.start());
    private final HttpHostDirectory mDirectory = new HttpHostDirectory(mEndpoint, TIMEOUT_MILLIS);

    @AfterTry
    void close() {
        mDirectory.close();
        mServer.close();
    }

    @Example
    void hostListIsReadOverHttp() throws IOException {
        mServer.putHosts(
                """
                {"hosts": [{"name": "h1", "state": "leaving", "reportedAtMillis": 7,
                            "running": {"d1": 2}},
                           {"name": "h2", "state": "live", "reportedAtMillis": 8}]}
                """);
        HostListQuery query = new HostListQuery("", 0, Set.of("h1", "unknown host & more"));
        assertThat(mDirectory.read(query).join())
                .isEqualTo(
                        new HostListResponse(
                                "1",
                                OptionalLong.empty(),
                                2,
                                Map.of(HostPresence.LEAVING, 1, HostPresence.LIVE, 1),
                                Map.of("h1", HostPresence.LEAVING, "h2", HostPresence.LIVE),
                                Set.of(),
                                List.of(new HostUsage("h1", 7, Map.of("d1", 2)))));
        mServer.putHosts("{\"hosts\": [{\"name\": \"h2\", \"state\": \"lost\"}]}");
        assertThatThrownBy(() -> mDirectory.read(COMPLETE).join())
                .hasCauseInstanceOf(HostDirectoryException.class);
    }

    /** Guards against missing usage reports when more hosts are asked for than a query can name. */
    @Example
    void usageOfManyHostsIsReadAtOnce() throws IOException {
        String hosts =
                IntStream.range(0, 100)
                        .mapToObj(i -> "{\"name\": \"h%d\", \"state\": \"live\"}".formatted(i))
                        .collect(Collectors.joining(","));
        mServer.putHosts("{\"hosts\": [" + hosts + "]}");
        HostListResponse all = mDirectory.read(COMPLETE).join();
        assertThat(all.usage()).isEmpty();
        HostListQuery query = new HostListQuery("1", 100, all.changed().keySet());
        assertThat(mDirectory.read(query).join().usage()).hasSize(100);
    }

    /** Guards against a removed host that stays listed, and against changes that are sent again. */
    @Example
    void onlyChangesSinceTheRevisionAreSent() throws IOException {
        mServer.putHosts(
                """
                {"hosts": [{"name": "h1", "state": "live"}, {"name": "h2", "state": "live"},
                           {"name": "h3", "state": "live"}]}
                """);
        long revision = mDirectory.read(COMPLETE).join().revision();
        mServer.putHosts(
                """
                {"hosts": [{"name": "h1", "state": "live"}, {"name": "h2", "state": "ended"},
                           {"name": "h3", "state": "removed"}]}
                """);
        HostListResponse changes = since(revision);
        assertThat(changes.since()).hasValue(revision);
        assertThat(changes.changed()).containsOnly(Map.entry("h2", HostPresence.ENDED));
        assertThat(changes.removed()).containsExactly("h3");
        HostListResponse nothing = since(changes.revision());
        assertThat(nothing.changed()).isEmpty();
        assertThat(nothing.removed()).isEmpty();
        assertThat(nothing.counts()).isEqualTo(changes.counts());
    }

    /** Guards against a list of changes that does not start from the caller's revision. */
    @Example
    void restartOrForgottenRemovalGivesACompleteList() throws IOException {
        mServer.putHosts("{\"hosts\": [{\"name\": \"h1\", \"state\": \"live\"}]}");
        long revision = mDirectory.read(COMPLETE).join().revision();
        mServer.putHosts("{\"hosts\": [{\"name\": \"h1\", \"state\": \"removed\"}]}");
        mDirectory.read(COMPLETE).join();
        mServer.putHosts("{\"forgetRemovals\": true}");
        assertThat(since(revision).since()).isEmpty();
        mServer.putHosts("{\"restart\": true}");
        HostListResponse restarted = since(revision);
        assertThat(restarted.since()).isEmpty();
        assertThat(restarted.instance()).isEqualTo("2");
    }

    @Example
    void hostReportsBecomeVisibleAfterTheLag() throws IOException {
        HostList hosts = new HostList();
        hosts.apply(
                json("{\"lagMillis\": 300, \"hosts\": [{\"name\": \"h1\", \"state\": \"live\"}]}"),
                1_000);
        hosts.apply(json("{\"hosts\": [{\"name\": \"h1\", \"state\": \"ended\"}]}"), 2_000);
        assertThat(list(hosts, 1_299)).isEmpty();
        assertThat(list(hosts, 2_299).get(0).path("state").asText()).isEqualTo("live");
        assertThat(list(hosts, 2_300).get(0).path("state").asText()).isEqualTo("ended");
    }

    private static JsonNode list(HostList hosts, long nowMillis) {
        return hosts.list(QueryParams.of(), nowMillis).path("hosts");
    }

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }

    private HostListResponse since(long revision) {
        return mDirectory.read(new HostListQuery("1", revision, Set.of())).join();
    }
}
