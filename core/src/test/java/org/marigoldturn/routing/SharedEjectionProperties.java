package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests the ejections that daemons report to each other. */
class SharedEjectionProperties {
    private static final long SECOND_MILLIS = 1_000;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Guards against reports, of any number and content, that take over 30% of a pool out of use.
     */
    @Property(tries = 300, seed = "8121")
    void atMostThirtyPercentAreOutOfUseWithAnyReports(
            @ForAll long sequence, @ForAll @IntRange(min = 1, max = 40) int hosts) {
        Random random = new Random(sequence);
        HostHealth health = new HostHealth(new Random(sequence + 1));
        EjectionReports reports = new EjectionReports();
        for (int step = 0; step < 200; step++) {
            long nanos = step * SECOND_NANOS / 2;
            long millis = step * SECOND_MILLIS / 2;
            String host = "h" + random.nextInt(hosts);
            for (int i = 0; i < random.nextInt(4); i++) {
                HostHealthReport report =
                        new HostHealthReport(
                                "h" + random.nextInt(hosts),
                                random.nextInt(4) > 0,
                                random.nextInt(100));
                reports.onReport("d" + random.nextInt(8), report, millis);
            }
            health.setSuspects(
                    reports.suspects(h -> health.report(h, nanos).requests(), millis),
                    hosts,
                    nanos);
            for (int i = 0; i < 5; i++) {
                outcome(health, host, hosts, random.nextInt(3) == 0, nanos);
                assertThat(health.outOfUseCount() * 100).isLessThanOrEqualTo(hosts * 30);
            }
        }
    }

    private static void outcome(
            HostHealth health, String host, int hosts, boolean success, long nowNanos) {
        if (health.verdict(host, nowNanos) == HostVerdict.TRIAL_DUE) {
            health.tryBeginTrial(host, nowNanos);
        }
        if (success) {
            health.onSuccess(host, nowNanos);
        } else {
            health.onFailure(host, hosts, nowNanos);
        }
    }

    /**
     * Guards against daemons that continue to use a host on which all requests fail, although the
     * daemons with most of the traffic have ejected it, even if wrong reports use up the limit.
     */
    @Property(tries = 100, seed = "8122")
    void allDaemonsStopUsingAHostThatFailsAllRequests(
            @ForAll long sequence, @ForAll @IntRange(min = 0, max = 12) int wrongReportsPerSecond) {
        int daemons = 6;
        int hosts = 12;
        Random random = new Random(sequence);
        List<HostHealth> health = new ArrayList<>();
        Map<Integer, EjectionReports> reports = new HashMap<>();
        for (int d = 0; d < daemons; d++) {
            health.add(new HostHealth(new Random(sequence + d)));
            reports.put(d, new EjectionReports());
        }
        for (int second = 0; second < 60; second++) {
            long nanos = second * SECOND_NANOS;
            long millis = second * SECOND_MILLIS;
            for (int d = 0; d < daemons; d++) {
                // Two daemons send most of the requests, the others one a second.
                for (int i = 0; i < (d < 2 ? 20 : 1); i++) {
                    String host = "h" + random.nextInt(hosts);
                    if (health.get(d).verdict(host, nanos) != HostVerdict.EJECTED) {
                        outcome(health.get(d), host, hosts, !host.equals("h0"), nanos);
                    }
                }
                share(reports, d, health.get(d), millis, nanos);
            }
            for (int i = 0; i < wrongReportsPerSecond; i++) {
                HostHealthReport wrongReport =
                        new HostHealthReport("h" + (1 + random.nextInt(11)), true, 1_000);
                reports.values().forEach(r -> r.onReport("liar", wrongReport, millis));
            }
            for (int d = 0; d < daemons; d++) {
                adopt(health.get(d), reports.get(d), hosts, millis, nanos);
            }
        }
        for (HostHealth each : health) {
            assertThat(each.verdict("h0", 60 * SECOND_NANOS)).isNotEqualTo(HostVerdict.USABLE);
        }
    }

    private static void share(
            Map<Integer, EjectionReports> reports,
            int sender,
            HostHealth health,
            long nowMillis,
            long nowNanos) {
        reports.forEach(
                (receiver, received) -> {
                    if (receiver != sender) {
                        for (String host : List.of("h0", "h1", "h2")) {
                            received.onReport(
                                    "d" + sender, health.report(host, nowNanos), nowMillis);
                        }
                    }
                });
    }

    private static void adopt(
            HostHealth health, EjectionReports reports, int hosts, long nowMillis, long nowNanos) {
        List<String> suspects =
                reports.suspects(host -> health.report(host, nowNanos).requests(), nowMillis);
        health.setSuspects(suspects, hosts, nowNanos);
    }

    /** Guards against a daemon with little of the traffic that ejects a host for all daemons. */
    @Example
    void aSingleDaemonNeedsAClearMajorityOfTheTraffic() {
        EjectionReports reports = new EjectionReports();
        reports.onReport("d1", new HostHealthReport("h0", true, 60), 0);
        assertThat(reports.suspects(host -> 29, 1)).containsExactly("h0");
        assertThat(reports.suspects(host -> 31, 1)).isEmpty();
        reports.onReport("d2", new HostHealthReport("h0", true, 0), 1);
        assertThat(reports.suspects(host -> 1_000, 2)).containsExactly("h0");
    }

    /** Guards against reports of a daemon that was removed or has not reported for long. */
    @Example
    void reportsExpireAndEndWithTheirDaemon() {
        EjectionReports reports = new EjectionReports();
        reports.onReport("d1", new HostHealthReport("h0", true, 60), 0);
        assertThat(reports.suspects(host -> 0, 14_999)).containsExactly("h0");
        assertThat(reports.suspects(host -> 0, 15_000)).isEmpty();
        reports.onReport("d1", new HostHealthReport("h0", true, 60), 20_000);
        reports.retain(Set.of("d2"), Set.of("h0"), 20_001);
        assertThat(reports.suspects(host -> 0, 20_001)).isEmpty();
    }

    /** Guards against a wrong report that keeps a working host out of use. */
    @Example
    void aWrongReportIsRefutedByOneSuccessOrByTime() {
        HostHealth health = new HostHealth(new Random(1));
        health.setSuspects(List.of("h0", "h1"), 10, 0);
        assertThat(health.outOfUseCount()).isEqualTo(2);
        assertThat(health.verdict("h0", 1)).isEqualTo(HostVerdict.EJECTED);
        long later = 7 * SECOND_NANOS;
        assertThat(health.tryBeginTrial("h0", later)).isTrue();
        health.onSuccess("h0", later);
        health.setSuspects(List.of("h0", "h1"), 10, later);
        assertThat(health.verdict("h0", later)).isEqualTo(HostVerdict.USABLE);
        assertThat(health.verdict("h1", later)).isEqualTo(HostVerdict.TRIAL_DUE);
        health.setSuspects(List.of("h0", "h1"), 10, 60 * SECOND_NANOS);
        assertThat(health.verdict("h1", 60 * SECOND_NANOS)).isEqualTo(HostVerdict.USABLE);
    }

    /** Guards against a host that counts as unavailable by the reports of a minority. */
    @Example
    void aHostIsUnavailableWhenAMajorityOfItsDaemonsHasEjectedIt() {
        EjectionReports reports = new EjectionReports();
        reports.onReport("d1", new HostHealthReport("h0", true, 5), 0);
        reports.onReport("d2", new HostHealthReport("h0", false, 50), 0);
        assertThat(reports.ejectedByMajority(List.of(), 1)).isEmpty();
        List<HostHealthReport> own = List.of(new HostHealthReport("h0", true, 7));
        assertThat(reports.ejectedByMajority(own, 1)).containsExactly("h0");
        reports.onReport("d3", new HostHealthReport("h0", false, 0), 0);
        assertThat(reports.ejectedByMajority(own, 1)).containsExactly("h0");
    }

    /** Guards against reports that are repeated every second, or not before they expire. */
    @Example
    void onlyChangesAndRenewalsAreReported() {
        HealthReporter reporter = new HealthReporter();
        HostHealthReport ejected = new HostHealthReport("h0", true, 5);
        HostHealthReport returned = new HostHealthReport("h0", false, 5);
        assertThat(reporter.due(Set.of("h0"), host -> ejected, 0)).containsExactly(ejected);
        assertThat(reporter.due(Set.of("h0"), host -> ejected, 4_999)).isEmpty();
        assertThat(reporter.due(Set.of("h0"), host -> ejected, 5_000)).containsExactly(ejected);
        assertThat(reporter.due(Set.of(), host -> returned, 6_000)).containsExactly(returned);
        assertThat(reporter.due(Set.of(), host -> returned, 20_000)).isEmpty();
    }
}
