package org.marigoldturn.scheduling;

import java.util.HashSet;
import java.util.Set;

/**
 * The earlier incarnations of a target whose calls the present one may have carried out. Immutable.
 *
 * @param startsEpochMillis their wall-clock starts, as far as they are known
 * @param services the services to which they belonged
 */
public record EarlierIncarnations(Set<Long> startsEpochMillis, Set<String> services) {
    static final EarlierIncarnations NONE = new EarlierIncarnations(Set.of(), Set.of());

    /** Bounds the record of a target that restarts again and again. */
    private static final int MAX_STARTS = 16;

    public EarlierIncarnations {
        startsEpochMillis = Set.copyOf(startsEpochMillis);
        services = Set.copyOf(services);
    }

    /** Returns these incarnations and one more; many starts are forgotten, services are not. */
    EarlierIncarnations plus(TargetEntry entry) {
        Set<Long> starts = new HashSet<>(startsEpochMillis);
        if (starts.size() >= MAX_STARTS) {
            starts.clear();
        }
        starts.add(entry.startedEpochMillis());
        Set<String> allServices = new HashSet<>(services);
        allServices.add(entry.service());
        return new EarlierIncarnations(starts, allServices);
    }

    /** Returns whether all of the given incarnations are among these. */
    public boolean containsAll(EarlierIncarnations others) {
        return startsEpochMillis.containsAll(others.startsEpochMillis)
                && services.containsAll(others.services);
    }
}
