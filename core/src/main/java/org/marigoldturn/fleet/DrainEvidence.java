package org.marigoldturn.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Evidence about the work that runs on a draining host.
 *
 * @param drainVersion version of the settings in which the host drains
 * @param members ids of all members
 * @param reports newest report of each daemon, by member id
 * @param usage newest usage report of the host, null if there is none
 * @param hostEnded whether the host list states that the host has ended, so that nothing runs there
 */
public record DrainEvidence(
        long drainVersion,
        Set<String> members,
        Map<String, DaemonReport> reports,
        UsageReport usage,
        boolean hostEnded) {
    /** Nothing is known. */
    public static final DrainEvidence NONE =
            new DrainEvidence(Long.MAX_VALUE, Set.of(), Map.of(), null, false);

    public DrainEvidence {
        members = Set.copyOf(members);
        reports = Map.copyOf(reports);
    }

    /**
     * A daemon's report about a host.
     *
     * @param version settings version that the daemon held
     * @param running requests that the daemon runs on the host
     * @param reportedAtMillis time of the report on the planner's clock
     */
    public record DaemonReport(long version, int running, long reportedAtMillis) {}

    /**
     * A host's usage report.
     *
     * @param running requests that run on the host
     * @param madeAtMillis earliest time on the planner's clock at which the report can have been
     *     made
     */
    public record UsageReport(int running, long madeAtMillis) {}

    /**
     * Returns whether no work runs on the host and none can start.
     *
     * <p>Each daemon must hold the version in which the host drains and run nothing there, and a
     * usage report made after all of these reports must also show no running requests. Elapsed time
     * is no evidence.
     */
    public boolean drained() {
        if (hostEnded) {
            return true;
        }
        if (members.isEmpty() || usage == null || usage.running() > 0) {
            return false;
        }
        for (String member : members) {
            DaemonReport report = reports.get(member);
            if (report == null
                    || report.version() < drainVersion
                    || report.running() > 0
                    || report.reportedAtMillis() > usage.madeAtMillis()) {
                return false;
            }
        }
        return true;
    }
}
