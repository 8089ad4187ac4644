package org.marigoldturn.standins;

import java.util.ArrayList;
import java.util.List;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;

/** Builds settings for a small fleet as YAML text. Not thread safe. */
public final class FleetYaml {
    private final List<String> mZones = new ArrayList<>();
    private final List<String> mPools = new ArrayList<>();
    private final List<String> mServices = new ArrayList<>();
    private final List<String> mTeams = new ArrayList<>();
    private final List<String> mHosts = new ArrayList<>();

    /** Adds a zone in service. */
    public FleetYaml zone(String name) {
        mZones.add("  %s: {region: r1}".formatted(name));
        return this;
    }

    /** Adds a pool. */
    public FleetYaml pool(String name) {
        mPools.add("  %s: {spare: false}".formatted(name));
        return this;
    }

    /** Adds a service; {@code options} are additional fields, such as {@code open: true}. */
    public FleetYaml service(String name, String pool, String options) {
        mServices.add(
                "  %s: {pool: %s, maxUnavailablePercent: 50%s}"
                        .formatted(name, pool, options.isEmpty() ? "" : ", " + options));
        return this;
    }

    /** Adds a team with one key. */
    public FleetYaml team(String name, int shareWeight, int runningLimit, IssuedKey key) {
        mTeams.add(
                ("  %s: {shareWeight: %d, runningLimit: %d, keys: [{id: %s, saltHex: %s, hashHex:"
                                + " %s, createdAtMillis: %d}]}")
                        .formatted(
                                name,
                                shareWeight,
                                runningLimit,
                                key.stored().id(),
                                key.stored().saltHex(),
                                key.stored().hashHex(),
                                key.stored().createdAtMillis()));
        return this;
    }

    /** Adds a host on a loopback port. */
    public FleetYaml host(String name, String pool, String zone, int port, int slots) {
        mHosts.add(
                "  %s: {pool: %s, zone: %s, rack: r-%s, address: 127.0.0.1, port: %d, slots: %d}"
                        .formatted(name, pool, zone, name, port, slots));
        return this;
    }

    /** Adds a host on a loopback port that was maintained at the given time. */
    public FleetYaml host(
            String name, String pool, String zone, int port, int slots, long maintainedAtMillis) {
        mHosts.add(
                ("  %s: {pool: %s, zone: %s, rack: r-%s, address: 127.0.0.1, port: %d, slots: %d,"
                                + " maintainedAtMillis: %d}")
                        .formatted(name, pool, zone, name, port, slots, maintainedAtMillis));
        return this;
    }

    /** Returns the settings. */
    public String text() {
        StringBuilder yaml = new StringBuilder();
        append(yaml, "zones", mZones);
        append(yaml, "pools", mPools);
        append(yaml, "services", mServices);
        append(yaml, "teams", mTeams);
        append(yaml, "hosts", mHosts);
        return yaml.toString();
    }

    private static void append(StringBuilder yaml, String section, List<String> lines) {
        yaml.append(section).append(lines.isEmpty() ? ": {}\n" : ":\n");
        lines.forEach(line -> yaml.append(line).append('\n'));
    }
}
