package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.List;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.SettingsEdit;

/** Describes the decisions of the planner, one log line each. Stateless. */
public final class PlanDescription {
    private PlanDescription() {}

    /** Returns one line for each edit, without the component prefix of log lines. */
    public static List<String> lines(FleetSettings before, List<SettingsEdit> edits) {
        List<String> lines = new ArrayList<>();
        for (SettingsEdit edit : edits) {
            if (edit instanceof SettingsEdit.PutHost put) {
                lines.add(host(before.hosts().get(put.host().name()), put.host()));
            } else if (edit instanceof SettingsEdit.PutZone put) {
                lines.add("zone %s is %s.".formatted(put.zone().name(), put.zone().state()));
            } else if (edit instanceof SettingsEdit.PutPolicy put) {
                lines.add(
                        ("wave of zone \"%s\" is %s, %d hosts started, %d out of service, %d late;"
                                        + " %d moves pending, %d loans.")
                                .formatted(
                                        put.policy().wave().zone(),
                                        put.policy().wave().status(),
                                        put.policy().wave().startedHosts(),
                                        put.policy().wave().returnByMillis().size(),
                                        put.policy().wave().lateHosts().size(),
                                        put.policy().pendingMoves().size(),
                                        put.policy().loans().size()));
            }
        }
        return lines;
    }

    private static String host(HostSettings before, HostSettings after) {
        String move =
                before == null || before.pool().equals(after.pool())
                        ? "in pool " + after.pool()
                        : "moved from pool %s to %s".formatted(before.pool(), after.pool());
        return "host %s is %s, %s.".formatted(after.name(), after.state(), move);
    }
}
