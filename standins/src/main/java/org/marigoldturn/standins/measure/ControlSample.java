package org.marigoldturn.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of all daemons and of the store at one time, with the rates between two samples.
 * Immutable.
 */
final class ControlSample {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Clock ticks per second in {@code /proc/PID/stat}; fixed at 100 for programs on Linux. */
    private static final double TICKS_PER_SECOND = 100;

    private record Daemon(
            double cpuSeconds, double residentMegabytes, double sent, double received) {}

    private final long mAtNanos = System.nanoTime();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<String, Double> mStore = new TreeMap<>();

    private ControlSample() {}

    static ControlSample of(MeasuredFleet fleet) throws IOException {
        ControlSample sample = new ControlSample();
        for (int i = 0; i < fleet.processes().daemonCount(); i++) {
            sample.mDaemons.add(daemon(fleet, i));
        }
        String address = "http://127.0.0.1:" + fleet.processes().store().adminPort();
        JsonNode calls =
                JSON.readTree(
                        WebClient.of(address)
                                .get("/standin/calls")
                                .aggregate()
                                .join()
                                .contentUtf8());
        calls.fields()
                .forEachRemaining(
                        e -> sample.mStore.put("store." + e.getKey(), e.getValue().asDouble()));
        sample.mStore.put("store.received", (double) fleet.processes().store().bytesReceived());
        sample.mStore.put("store.sent", (double) fleet.processes().store().bytesSent());
        return sample;
    }

    /** Returns figures by name; rates are per daemon and second. */
    Map<String, Double> ratesUntil(ControlSample later) {
        double seconds = (later.mAtNanos - mAtNanos) / 1e9;
        Map<String, Double> rates = new TreeMap<>();
        int count = mDaemons.size();
        for (int i = 0; i < count; i++) {
            Daemon from = mDaemons.get(i);
            Daemon to = later.mDaemons.get(i);
            double cpu = 100 * (to.cpuSeconds() - from.cpuSeconds()) / seconds;
            rates.merge("cpu.mean.percent_of_core", cpu / count, Double::sum);
            rates.merge("cpu.largest.percent_of_core", cpu, Math::max);
            rates.merge("resident.mean.MiB", to.residentMegabytes() / count, Double::sum);
            rates.merge("resident.largest.MiB", to.residentMegabytes(), Math::max);
            double sent = (to.sent() - from.sent()) / seconds;
            double received = (to.received() - from.received()) / seconds;
            rates.merge("peer.sent.mean.bytes_per_s", sent / count, Double::sum);
            rates.merge("peer.received.mean.bytes_per_s", received / count, Double::sum);
            rates.merge("peer.sent.largest.bytes_per_s", sent, Math::max);
        }
        later.mStore.forEach(
                (kind, value) -> {
                    boolean bytes = kind.endsWith(".sent") || kind.endsWith(".received");
                    double rate = (value - mStore.getOrDefault(kind, 0.0)) / seconds / count;
                    rates.put(kind + (bytes ? ".mean.bytes_per_s" : ".mean.calls_per_s"), rate);
                });
        return rates;
    }

    private static Daemon daemon(MeasuredFleet fleet, int index) throws IOException {
        String metrics =
                fleet.callOperatorPort(index, HttpMethod.GET, "/metrics", "").contentUtf8();
        Path process = Path.of("/proc", Long.toString(fleet.processes().daemon(index).pid()));
        return new Daemon(
                cpuSeconds(Files.readString(process.resolve("stat"))),
                residentMegabytes(Files.readAllLines(process.resolve("status"))),
                value(metrics, "peer_bytes_sent"),
                value(metrics, "peer_bytes_received"));
    }

    private static double cpuSeconds(String stat) {
        // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    private static double residentMegabytes(List<String> status) {
        String line = status.stream().filter(l -> l.startsWith("VmRSS:")).findFirst().orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
    }

    private static double value(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no metric " + name));
    }
}
