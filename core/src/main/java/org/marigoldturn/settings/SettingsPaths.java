package org.marigoldturn.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Lists and compares the paths of entries, such as {@code teams/club}. Stateless. */
final class SettingsPaths {
    static final String POLICY = "policy";
    static final String MEMBERS = "system/members";
    static final String RIGHTS = "system/rights";
    static final String SLOTS = "system/slots";
    private static final String SYSTEM_PREFIX = "system/";

    private SettingsPaths() {}

    /** Returns all entries of the operators' settings by path. */
    static Map<String, Record> entries(FleetSettings settings) {
        Map<String, Record> entries = new TreeMap<>();
        settings.zones().forEach((name, entry) -> entries.put("zones/" + name, entry));
        settings.pools().forEach((name, entry) -> entries.put("pools/" + name, entry));
        settings.services().forEach((name, entry) -> entries.put("services/" + name, entry));
        settings.teams().forEach((name, entry) -> entries.put("teams/" + name, entry));
        settings.hosts().forEach((name, entry) -> entries.put("hosts/" + name, entry));
        entries.put(POLICY, settings.policy());
        return entries;
    }

    /** Returns the paths whose content differs between two states, in order. */
    static List<String> changed(VersionedState before, VersionedState after) {
        Map<String, Record> old = allEntries(before);
        Map<String, Record> current = allEntries(after);
        TreeSet<String> paths = new TreeSet<>(old.keySet());
        paths.addAll(current.keySet());
        paths.removeIf(path -> Objects.equals(old.get(path), current.get(path)));
        return new ArrayList<>(paths);
    }

    /** Returns all entries of a state by path, including those that the daemons change. */
    static Map<String, Record> allEntries(VersionedState state) {
        Map<String, Record> entries = entries(state.settings());
        entries.put(MEMBERS, state.members());
        RightsDivision rights = state.rights();
        entries.put(RIGHTS, new RightsDivision(rights.teams(), SlotDivision.EMPTY));
        entries.put(SLOTS, rights.slots());
        return entries;
    }

    /** Returns the first of {@code paths} that overlaps one of {@code others}. */
    static Optional<String> firstOverlap(List<String> paths, List<String> others) {
        return paths.stream()
                .filter(path -> others.stream().anyMatch(other -> overlap(path, other)))
                .findFirst();
    }

    private static boolean overlap(String a, String b) {
        if (a.equals(b)) {
            return true;
        }
        if (a.isEmpty() || b.isEmpty()) {
            return !(a + b).startsWith(SYSTEM_PREFIX);
        }
        return a.startsWith(b + "/") || b.startsWith(a + "/");
    }
}
