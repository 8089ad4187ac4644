package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import net.jqwik.api.Example;
import org.marigoldturn.settings.TargetProtocol;

/** Tests the caller port with a caller that does not read its response. */
class EntrySlowReaderTest {
    private static final String BODY = "class 4, plot 12";

    /** Guards against one caller that reads slowly and thereby stops all responses of a host. */
    @Example
    void aSlowReaderDoesNotDelayOthers() {
        try (EntryFixture fixture = new EntryFixture(1, TargetProtocol.H2C)) {
            try (ClientFactory slowCaller = ClientFactory.builder().build()) {
                HttpResponse unread =
                        fixture.newClient(slowCaller)
                                .execute(
                                        HttpRequest.of(
                                                large(fixture, 200_000_000).build(),
                                                HttpData.ofUtf8(BODY)));
                EntryFixture.await("large response runs", () -> fixture.runs() == 1);
                assertThat(fixture.send(large(fixture, 30_000_000), BODY).join().content().length())
                        .isEqualTo(30_000_000);
                for (int i = 0; i < 200; i++) {
                    RequestHeadersBuilder headers =
                            EntryPathTest.post(fixture, EntryPathTest.newId());
                    AggregatedHttpResponse response = fixture.send(headers, BODY).join();
                    assertThat(response.contentUtf8()).isEqualTo(BODY);
                }
                boolean complete =
                        unread.aggregate().handle((response, failure) -> failure == null).join();
                assertThat(complete).isFalse();
            }
        }
    }

    private static RequestHeadersBuilder large(EntryFixture fixture, int bytes) {
        return fixture.headers(HttpMethod.POST)
                .setInt("x-response-bytes", bytes)
                .set("marigoldturn-deadline-millis", "20000");
    }
}
