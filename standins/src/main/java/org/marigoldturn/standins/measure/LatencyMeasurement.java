package org.marigoldturn.standins.measure;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.io.PrintStream;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/** Compares requests through one entry daemon with requests straight to the target. */
final class LatencyMeasurement {
    private static final int WARM_UP_REQUESTS = 10_000;
    private static final int REQUESTS = 10_000;
    private static final long MAX_DURATION_NANOS = 60_000_000_000L;
    private static final int CLIENTS = 32;
    private static final long THROUGHPUT_MILLIS = 5_000;

    private LatencyMeasurement() {}

    /** Prints the figures; the measurement uses no random numbers. */
    static void run(long seed, PrintStream out) throws IOException, InterruptedException {
        Figures figures = new Figures("latency", out);
        try (MeasuredFleet fleet = new MeasuredFleet("latency")) {
            String service = MeasuredFleet.SERVICE;
            fleet.service(service).team("club", 1_000).hosts(service, 1, 200);
            fleet.start(1, service, "club");
            int port = fleet.processes().host(service + "-h0").port();
            WebClient target = WebClient.of("h2c://127.0.0.1:" + port);
            RequestHeaders headers = RequestHeaders.of(HttpMethod.POST, "/run");
            IntFunction<HttpResponse> direct =
                    i ->
                            target.execute(
                                    HttpRequest.of(headers, HttpData.ofUtf8("class 4, plot 12")));
            IntFunction<HttpResponse> through = i -> fleet.sendAs(0, "club", service, 0);
            measurePairs(WARM_UP_REQUESTS, direct, through, new Histogram(3), new Histogram(3));
            Histogram directMicros = new Histogram(3);
            Histogram throughMicros = new Histogram(3);
            measurePairs(REQUESTS, direct, through, directMicros, throughMicros);
            print(figures, "direct", directMicros);
            print(figures, "through", throughMicros);
            for (double percentile : new double[] {50, 99}) {
                figures.print(
                        "added.p" + (int) percentile,
                        (throughMicros.getValueAtPercentile(percentile)
                                        - directMicros.getValueAtPercentile(percentile))
                                / 1e3,
                        "ms");
            }
            measureThroughput(figures, "direct", direct);
            measureThroughput(figures, "through", through);
        }
    }

    /**
     * Alternates direct requests with requests through the daemon, so that other load on the
     * machine affects both alike.
     */
    private static void measurePairs(
            int count,
            IntFunction<HttpResponse> direct,
            IntFunction<HttpResponse> through,
            Histogram directMicros,
            Histogram throughMicros) {
        long start = System.nanoTime();
        for (int i = 0; i < count && System.nanoTime() - start < MAX_DURATION_NANOS; i++) {
            record(direct, directMicros);
            record(through, throughMicros);
        }
    }

    private static void record(IntFunction<HttpResponse> request, Histogram micros) {
        long start = System.nanoTime();
        int status = request.apply(0).aggregate().join().status().code();
        if (status != 200) {
            throw new IllegalStateException("unexpected status " + status);
        }
        micros.recordValue((System.nanoTime() - start) / 1_000);
    }

    private static void print(Figures figures, String name, Histogram micros) {
        figures.print(name + ".requests", micros.getTotalCount(), "requests");
        figures.print(name + ".p50", micros.getValueAtPercentile(50) / 1e3, "ms");
        figures.print(name + ".p99", micros.getValueAtPercentile(99) / 1e3, "ms");
    }

    private static void measureThroughput(
            Figures figures, String name, IntFunction<HttpResponse> request)
            throws InterruptedException {
        try (ClosedLoad load = new ClosedLoad(CLIENTS, 0, request)) {
            Thread.sleep(THROUGHPUT_MILLIS / 2);
            long before = load.succeeded();
            long start = System.nanoTime();
            Thread.sleep(THROUGHPUT_MILLIS);
            double seconds = (System.nanoTime() - start) / 1e9;
            figures.print(
                    name + ".throughput", (load.succeeded() - before) / seconds, "requests_per_s");
            figures.print(name + ".throughput.failed", load.failed(), "requests");
        }
    }
}
