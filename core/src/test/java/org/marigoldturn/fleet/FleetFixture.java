package org.marigoldturn.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;

/** Settings and observations for the tests of the planners. */
public final class FleetFixture {
    static final int SLOTS = 8;

    private FleetFixture() {}

    /** Three zones, pools "desk", "marks" and the spare pool "club", racks of four hosts. */
    public static FleetSettings settings(int hostCount, int maxUnavailablePercent) {
        List<String> poolNames = List.of("desk", "marks", "club");
        Map<String, ZoneSettings> zones = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            zones.put("z" + i, new ZoneSettings("z" + i, "r1", null, 0));
        }
        Map<String, PoolSettings> pools = new HashMap<>();
        Map<String, ServiceSettings> services = new HashMap<>();
        for (String pool : poolNames) {
            pools.put(pool, new PoolSettings(pool, pool.equals("club")));
            services.put(pool, service(pool, maxUnavailablePercent));
        }
        Map<String, HostSettings> hosts = new HashMap<>();
        for (int i = 0; i < hostCount; i++) {
            HostSettings host =
                    host("h" + i, poolNames.get(i % 3), "z" + i / 4 % 3, "rack" + i / 4);
            hosts.put(host.name(), host);
        }
        return new FleetSettings(zones, pools, services, Map.of(), hosts, FleetPolicy.DEFAULT);
    }

    static ServiceSettings service(String pool, int maxUnavailablePercent) {
        return new ServiceSettings(
                pool, pool, false, null, maxUnavailablePercent, 0, 0, 0, List.of());
    }

    static HostSettings host(String name, String pool, String zone, String rack) {
        int hash = name.hashCode();
        String address =
                "10.%d.%d.%d".formatted((hash >> 16) & 0xff, (hash >> 8) & 0xff, hash & 0xff);
        return new HostSettings(
                name, pool, zone, rack, address, 8080, SLOTS, 64, 32, 1024, 0, null, 0);
    }

    static FleetSettings apply(FleetSettings settings, List<SettingsEdit> edits) {
        EditedSettings edited = new EditedSettings(settings);
        edited.apply(edits);
        return edited.current();
    }

    /** Observation of a host that has drained, has been maintained and is live. */
    static HostObservation drainedAndMaintained() {
        DrainEvidence drained =
                new DrainEvidence(
                        1,
                        Set.of("d1"),
                        Map.of("d1", new DrainEvidence.DaemonReport(1, 0, 10)),
                        new DrainEvidence.UsageReport(0, 20),
                        false);
        return new HostObservation(drained, true, true);
    }
}
