package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.marigoldturn.settings.TargetProtocol;

/** Tests the caller port with generated and malformed headers. */
class EntryHeadersTest {
    private static final List<String> NAMES =
            List.of(
                    "marigoldturn-request-id",
                    "marigoldturn-deadline-millis",
                    "marigoldturn-idempotent",
                    "marigoldturn-urgent",
                    "marigoldturn-needs",
                    "marigoldturn-key");
    private static final List<String> VALUES =
            List.of(
                    "true",
                    "TRUE",
                    "1",
                    "0",
                    "-1",
                    "99999999999999999999",
                    "cores=1",
                    "cores=1,cores=2",
                    "cores=33",
                    "cores=,",
                    "memory-mb=1,accelerators=0",
                    "01890a5d-ac96-774b-bcce-b302099a8057",
                    "club.0000",
                    "a b;c=\"d\"",
                    "x".repeat(4_000));

    private static EntryFixture sFixture;

    @BeforeContainer
    static void start() {
        sFixture = new EntryFixture(1, TargetProtocol.H2C);
    }

    @AfterContainer
    static void stop() {
        sFixture.close();
    }

    /** Guards against server errors, missing responses or runs caused by malformed headers. */
    @Property(tries = 300, seed = "4071")
    void everyHeaderIsAcceptedOrRefusedWithAReason(@ForAll long seed) {
        Random random = new Random(seed);
        RequestHeadersBuilder headers = sFixture.headers(HttpMethod.POST);
        for (int i = random.nextInt(4); i >= 0; i--) {
            String name = NAMES.get(random.nextInt(NAMES.size()));
            if (random.nextBoolean()) {
                headers.add(name, value(random));
            } else {
                headers.set(name, value(random));
            }
        }
        int runsBefore = sFixture.runs();
        AggregatedHttpResponse response = sFixture.send(headers, "body").join();
        if (response.status().code() == 200) {
            assertThat(response.contentUtf8()).isEqualTo("body");
            return;
        }
        assertThat(response.status().code()).isIn(400, 401, 409, 422, 503);
        assertThat(response.contentType().toString()).isEqualTo("application/problem+json");
        assertThat(response.headers().get("marigoldturn-outcome")).isIn("not-run", "unknown");
        assertThat(response.contentUtf8()).contains("\"reason\"").doesNotContain(sFixture.key());
        if (response.headers().get("marigoldturn-outcome").equals("not-run")) {
            assertThat(sFixture.runs()).isEqualTo(runsBefore);
        }
    }

    private static String value(Random random) {
        if (random.nextInt(3) > 0) {
            return VALUES.get(random.nextInt(VALUES.size()));
        }
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(30); i > 0; i--) {
            text.append((char) (' ' + random.nextInt(95)));
        }
        return text.toString();
    }

    /** Guards against header blocks of unlimited size, and unclear responses to unknown paths. */
    @Example
    void refusesLargeHeadersAndUnknownPaths() {
        RequestHeadersBuilder large = sFixture.headers(HttpMethod.GET).set("x", "y".repeat(40_000));
        int status =
                sFixture.send(large, "")
                        .handle(
                                (response, failure) ->
                                        failure == null ? response.status().code() : 0)
                        .join();
        // The server may reset the stream instead of sending a response.
        assertThat(Set.of(0, 400, 431)).contains(status);
        RequestHeadersBuilder unknown =
                sFixture.headers(HttpMethod.GET).path("/services/nothing/x");
        AggregatedHttpResponse response = sFixture.send(unknown, "").join();
        assertThat(response.status().code()).isEqualTo(404);
        assertThat(response.headers().get("marigoldturn-outcome")).isEqualTo("not-run");
        RequestHeadersBuilder outside = sFixture.headers(HttpMethod.GET).path("/other");
        assertThat(sFixture.send(outside, "").join().headers().get("marigoldturn-outcome"))
                .isEqualTo("not-run");
    }

    /** Guards against requests that wait although no host of the pool can ever run them. */
    @Example
    void requestThatFitsNoHostIsRefusedOnArrival() {
        RequestHeadersBuilder headers =
                sFixture.headers(HttpMethod.POST).set("marigoldturn-needs", "accelerators=1");
        AggregatedHttpResponse response = sFixture.send(headers, "body").join();
        assertThat(response.status().code()).isEqualTo(422);
        assertThat(response.contentUtf8()).contains("no-host-fits");
    }
}
