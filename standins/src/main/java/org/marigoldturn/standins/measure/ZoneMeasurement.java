package org.marigoldturn.standins.measure;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.marigoldturn.standins.TargetRecords.Run;

/**
 * Measures the slot time used before, during and after the drain of a zone, as a part of what the
 * clients and the slots in service allow. The baseline spreads the same clients statically over the
 * hosts.
 */
final class ZoneMeasurement {
    private static final int DAEMONS = 6;
    private static final int HOSTS = 9;
    private static final int SLOTS_PER_HOST = 8;
    private static final int RUN_MILLIS = 200;
    private static final long WARM_UP_MILLIS = 6_000;
    private static final long PHASE_MILLIS = 10_000;

    private ZoneMeasurement() {}

    /** Times of one run, as wall clock milliseconds. */
    private record Times(long from, long drain, long restore, long to) {}

    static void run(long seed, PrintStream out) throws IOException, InterruptedException {
        for (int clients : new int[] {60, 144}) {
            measure(new Figures("zone." + clients + "-clients", out), clients);
        }
    }

    private static void measure(Figures figures, int clients)
            throws IOException, InterruptedException {
        try (MeasuredFleet fleet = new MeasuredFleet("zone")) {
            String service = MeasuredFleet.SERVICE;
            fleet.service(service).team("club", 500).team("school", 500);
            fleet.hosts(service, HOSTS, SLOTS_PER_HOST);
            fleet.start(DAEMONS, service, "club");
            try (ClosedLoad load =
                    new ClosedLoad(
                            clients,
                            0,
                            i ->
                                    fleet.sendAs(
                                            i % DAEMONS,
                                            i / DAEMONS % 2 == 0 ? "club" : "school",
                                            service,
                                            RUN_MILLIS))) {
                Times times = drainAndRestore(fleet);
                report(figures, fleet, clients, times);
                figures.print("failed", load.failed(), "requests");
            }
        }
    }

    private static Times drainAndRestore(MeasuredFleet fleet) throws InterruptedException {
        Thread.sleep(WARM_UP_MILLIS);
        long from = System.currentTimeMillis();
        Thread.sleep(PHASE_MILLIS / 2);
        long drain = System.currentTimeMillis();
        callOperatorPort(fleet, "/v1/zones/z0/drain");
        Thread.sleep(PHASE_MILLIS);
        long restore = System.currentTimeMillis();
        callOperatorPort(fleet, "/v1/zones/z0/restore");
        Thread.sleep(PHASE_MILLIS);
        return new Times(from, drain, restore, System.currentTimeMillis());
    }

    private static void callOperatorPort(MeasuredFleet fleet, String path) {
        AggregatedHttpResponse response = fleet.callOperatorPort(0, HttpMethod.POST, path, "");
        if (!response.status().isSuccess()) {
            throw new IllegalStateException(path + " failed: " + response.contentUtf8());
        }
    }

    private static void report(Figures figures, MeasuredFleet fleet, int clients, Times times) {
        List<Run> drained = new ArrayList<>();
        List<Run> others = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            List<Run> runs =
                    fleet.processes().host(MeasuredFleet.SERVICE + "-h" + i).records().runs();
            (i % 3 == 0 ? drained : others).addAll(runs);
        }
        int slots = HOSTS * SLOTS_PER_HOST;
        int remainingSlots = slots * 2 / 3;
        double percentBefore =
                usedPercent(drained, others, clients, slots, times.from(), times.drain());
        double percentWhileDrained =
                100.0
                        * RunTimeline.busyMillis(others, times.drain(), times.restore())
                        / possibleMillis(clients, remainingSlots, times.drain(), times.restore());
        double percentAfterRestore =
                usedPercent(drained, others, clients, slots, times.restore(), times.to());
        figures.print("before", percentBefore, "percent_of_possible");
        figures.print("zone-away", percentWhileDrained, "percent_of_possible");
        figures.print("zone-returned", percentAfterRestore, "percent_of_possible");
        double possibleWhileDrained =
                possibleMillis(clients, remainingSlots, times.drain(), times.restore());
        double possibleAfterRestore = possibleMillis(clients, slots, times.restore(), times.to());
        figures.print(
                "leave-and-return",
                (percentWhileDrained * possibleWhileDrained
                                + percentAfterRestore * possibleAfterRestore)
                        / (possibleWhileDrained + possibleAfterRestore),
                "percent_of_possible");
        double staticWhileDrained =
                Math.min(remainingSlots, clients * 2 / 3.0) / Math.min(remainingSlots, clients);
        figures.print(
                "baseline-static-clients-computed.zone-away",
                100 * staticWhileDrained,
                "percent_of_possible");
        figures.print(
                "baseline-static-clients-computed.leave-and-return",
                100
                        * (staticWhileDrained * possibleWhileDrained + possibleAfterRestore)
                        / (possibleWhileDrained + possibleAfterRestore),
                "percent_of_possible");
    }

    private static double usedPercent(
            List<Run> drained, List<Run> others, int clients, int slots, long from, long to) {
        long busy =
                RunTimeline.busyMillis(drained, from, to)
                        + RunTimeline.busyMillis(others, from, to);
        return 100.0 * busy / possibleMillis(clients, slots, from, to);
    }

    private static double possibleMillis(int clients, int slots, long from, long to) {
        return (double) Math.min(clients, slots) * (to - from);
    }
}
