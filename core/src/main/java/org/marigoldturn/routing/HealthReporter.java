package org.marigoldturn.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Decides which health reports this daemon sends: changed reports at once, and unchanged ones again
 * before they expire. Not thread safe; methods take the present time as an argument.
 */
public final class HealthReporter {
    static final long REPEAT_MILLIS = EjectionReports.EXPIRY_MILLIS / 3;

    private record Sent(HostHealthReport report, long atMillis) {}

    private final Map<String, Sent> mSent = new TreeMap<>();

    /**
     * Returns the reports to send now.
     *
     * @param ejected hosts that this or another daemon has ejected
     * @param current returns the present report of this daemon about a host
     */
    public List<HostHealthReport> due(
            Set<String> ejected, Function<String, HostHealthReport> current, long nowMillis) {
        Set<String> hosts = new TreeSet<>(ejected);
        // Reports the end of an ejection by this daemon once.
        mSent.forEach(
                (host, sent) -> {
                    if (sent.report().ejected()) {
                        hosts.add(host);
                    }
                });
        mSent.keySet().retainAll(hosts);
        List<HostHealthReport> due = new ArrayList<>();
        for (String host : hosts) {
            HostHealthReport report = current.apply(host);
            if (isDue(mSent.get(host), report, nowMillis)) {
                mSent.put(host, new Sent(report, nowMillis));
                due.add(report);
            }
        }
        return due;
    }

    private static boolean isDue(Sent sent, HostHealthReport report, long nowMillis) {
        if (sent == null) {
            return report.ejected() || report.requests() > 0;
        }
        boolean changed =
                sent.report().ejected() != report.ejected()
                        || sent.report().requests() > 0 != report.requests() > 0;
        return changed || nowMillis - sent.atMillis() >= REPEAT_MILLIS;
    }
}
