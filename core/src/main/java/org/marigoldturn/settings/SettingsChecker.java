package org.marigoldturn.settings;

import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Checks complete settings: ranges, formats and references between entries. Stateless. */
public final class SettingsChecker {
    private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern SALT_HEX = Pattern.compile("([0-9a-f]{2}){1,64}");

    private final FleetSettings mSettings;
    private final Set<String> mInvalidPaths;
    private final List<SettingsError> mErrors = new ArrayList<>();

    private SettingsChecker(FleetSettings settings, Set<String> invalidPaths) {
        mSettings = settings;
        mInvalidPaths = invalidPaths;
    }

    /** Returns all errors in the settings, without line numbers; empty if they are valid. */
    public static List<SettingsError> check(FleetSettings settings) {
        return check(settings, Set.of());
    }

    /**
     * Returns all errors in the settings.
     *
     * @param invalidPaths paths of entries that exist but are invalid, so that references to them
     *     are not reported in addition
     */
    static List<SettingsError> check(FleetSettings settings, Set<String> invalidPaths) {
        SettingsChecker checker = new SettingsChecker(settings, invalidPaths);
        checker.checkNames();
        settings.services().values().forEach(checker::checkService);
        settings.teams().values().forEach(checker::checkTeam);
        settings.hosts().values().forEach(checker::checkHost);
        settings.zones()
                .values()
                .forEach(
                        zone ->
                                checker.checkRange(
                                        "zones",
                                        zone.name(),
                                        "stateSinceMillis",
                                        zone.stateSinceMillis()));
        checker.checkAddresses();
        checker.checkPolicy(settings.policy());
        return List.copyOf(checker.mErrors);
    }

    private void checkNames() {
        mSettings.zones().forEach((key, zone) -> checkName("zones", key, zone.name()));
        mSettings.pools().forEach((key, pool) -> checkName("pools", key, pool.name()));
        mSettings.services().forEach((key, service) -> checkName("services", key, service.name()));
        mSettings.teams().forEach((key, team) -> checkName("teams", key, team.name()));
        mSettings.hosts().forEach((key, host) -> checkName("hosts", key, host.name()));
    }

    private void checkName(String section, String key, String name) {
        if (!key.equals(name)) {
            addError(
                    section + "/" + key,
                    "expected the name \"" + key + "\", found \"" + name + "\"");
        }
    }

    private void checkService(ServiceSettings service) {
        String name = service.name();
        checkReference("services", name, "pool", service.pool());
        checkRange("services", name, "queueCapacity", service.queueCapacity());
        checkRange("services", name, "defaultDeadlineMillis", service.defaultDeadlineMillis());
        checkRange("services", name, "maxBodyBytes", service.maxBodyBytes());
        for (int status : service.notRunStatuses()) {
            checkRange("services", name, "notRunStatuses", status);
        }
    }

    private void checkTeam(TeamSettings team) {
        String name = team.name();
        if (name.contains(".")) {
            // A key in a request has the form team.secret and is split at the first dot.
            addError("teams/" + name, "expected a team name without \".\", found \"" + name + "\"");
        }
        checkRange("teams", name, "shareWeight", team.shareWeight());
        checkRange("teams", name, "runningLimit", team.runningLimit());
        Set<String> ids = new HashSet<>();
        for (TeamKey key : team.keys()) {
            String path = "teams/" + name + "/keys/" + key.id();
            if (!ids.add(key.id())) {
                addError(
                        path, "expected unique key ids, found \"" + key.id() + "\" more than once");
            }
            if (key.saltHex() == null || !SALT_HEX.matcher(key.saltHex()).matches()) {
                addError(path + "/saltHex", "expected 2 to 128 hexadecimal digits in pairs");
            }
            if (key.hashHex() == null || !SHA_256_HEX.matcher(key.hashHex()).matches()) {
                addError(path + "/hashHex", "expected 64 lower-case hexadecimal digits");
            }
        }
    }

    private void checkHost(HostSettings host) {
        String name = host.name();
        checkReference("hosts", name, "pool", host.pool());
        checkReference("hosts", name, "zone", host.zone());
        checkRange("hosts", name, "slots", host.slots());
        checkRange("hosts", name, "connections", host.connections());
        checkRange("hosts", name, "cores", host.cores());
        checkRange("hosts", name, "memoryMegabytes", host.memoryMegabytes());
        checkRange("hosts", name, "accelerators", host.accelerators());
        checkRange("hosts", name, "maintainedAtMillis", host.maintainedAtMillis());
        if (!Names.isValid(host.rack())) {
            String expected = "expected a name matching " + Names.pattern();
            addError("hosts/" + name + "/rack", expected + ", found \"" + host.rack() + "\"");
        }
        if (!isIpAddress(host.address())) {
            addError(
                    "hosts/" + name + "/address",
                    "expected an IP address, found \"" + host.address() + "\"");
        }
    }

    private void checkPolicy(FleetPolicy policy) {
        checkPolicyRange("maintenanceIntervalMillis", policy.maintenanceIntervalMillis());
        checkPolicyRange("maintenanceLeadMillis", policy.maintenanceLeadMillis());
        checkPolicyRange("returnWithinMillis", policy.returnWithinMillis());
        checkPolicyRange("loanAfterMillis", policy.loanAfterMillis());
    }

    private void checkPolicyRange(String field, long value) {
        FieldRanges.Range range = FieldRanges.of(SettingsPaths.POLICY, field);
        if (!range.contains(value)) {
            addError(SettingsPaths.POLICY + "/" + field, rangeMessage(range, value));
        }
    }

    private void checkAddresses() {
        Map<String, String> hostByAddress = new HashMap<>();
        for (HostSettings host : mSettings.hosts().values()) {
            String address = host.address() + ":" + host.port();
            String other = hostByAddress.putIfAbsent(address, host.name());
            if (other != null) {
                addError(
                        "hosts/" + host.name() + "/address",
                        "expected a unique address and port, found "
                                + address
                                + " of host \""
                                + other
                                + "\"");
            }
        }
    }

    private void checkReference(String section, String name, String field, String target) {
        if (!exists(field + "s", target)) {
            addError(
                    section + "/" + name + "/" + field,
                    "expected an existing " + field + ", found \"" + target + "\"");
        }
    }

    private boolean exists(String section, String name) {
        Map<String, ?> entries =
                switch (section) {
                    case "pools" -> mSettings.pools();
                    case "zones" -> mSettings.zones();
                    default -> throw new IllegalArgumentException("no references to " + section);
                };
        return entries.containsKey(name) || mInvalidPaths.contains(section + "/" + name);
    }

    private void checkRange(String section, String name, String field, long value) {
        FieldRanges.Range range = FieldRanges.of(section, field);
        if (!range.contains(value)) {
            addError(section + "/" + name + "/" + field, rangeMessage(range, value));
        }
    }

    static String rangeMessage(FieldRanges.Range range, long value) {
        return range.max() == Long.MAX_VALUE
                ? "expected at least " + range.min() + ", found " + value
                : "expected " + range.min() + " to " + range.max() + ", found " + value;
    }

    private static boolean isIpAddress(String address) {
        return NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address);
    }

    private void addError(String path, String message) {
        mErrors.add(new SettingsError(path, 0, message));
    }
}
