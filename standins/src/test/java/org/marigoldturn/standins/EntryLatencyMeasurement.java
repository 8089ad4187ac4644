package org.marigoldturn.standins;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.function.IntConsumer;
import org.HdrHistogram.Histogram;
import org.marigoldturn.settings.TargetProtocol;

/** Prints the latency of requests to a target directly and through the caller port. */
final class EntryLatencyMeasurement {
    private static final int WARM_UP = 8_000;
    private static final int REQUESTS = 10_000;

    private EntryLatencyMeasurement() {}

    /** Entry point. */
    public static void main(String[] args) {
        try (EntryFixture fixture = new EntryFixture(4, TargetProtocol.H2C)) {
            int port = fixture.mTargets.get(0).port();
            WebClient direct = WebClient.of("h2c://127.0.0.1:" + port);
            RequestHeaders directHeaders = RequestHeaders.of(HttpMethod.POST, "/echo");
            RequestHeaders headers = fixture.headers(HttpMethod.POST).build();
            for (int round = 0; round < 3; round++) {
                Histogram without = measure(i -> send(direct, directHeaders));
                Histogram with = measure(i -> send(fixture.client(), headers));
                System.out.printf(
                        "direct p50=%d us p99=%d us; through entry p50=%d us p99=%d us%n",
                        without.getValueAtPercentile(50),
                        without.getValueAtPercentile(99),
                        with.getValueAtPercentile(50),
                        with.getValueAtPercentile(99));
            }
        }
        System.exit(0);
    }

    private static Histogram measure(IntConsumer request) {
        for (int i = 0; i < WARM_UP; i++) {
            request.accept(i);
        }
        Histogram micros = new Histogram(3);
        for (int i = 0; i < REQUESTS; i++) {
            long start = System.nanoTime();
            request.accept(i);
            micros.recordValue((System.nanoTime() - start) / 1_000);
        }
        return micros;
    }

    private static void send(WebClient client, RequestHeaders headers) {
        int status =
                client.execute(HttpRequest.of(headers, HttpData.ofUtf8("class 4, plot 12")))
                        .aggregate()
                        .join()
                        .status()
                        .code();
        if (status != 200) {
            throw new IllegalStateException("unexpected status " + status);
        }
    }
}
