package org.marigoldturn.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.store.HostListMirror.Outcome;

/** Guards against a copy of the host list that misses a change or returns to an older state. */
class HostListMirrorTest {
    private static final int HOSTS = 6;
    private static final int STEPS = 60;

    /** Model of the service: a snapshot of the list for each revision of its instance. */
    private static final class ListModel {
        private final List<Map<String, HostPresence>> mSnapshots = new ArrayList<>();
        private int mInstance;

        ListModel() {
            restart();
        }

        /** Starts a new instance, whose only revision holds the present list. */
        void restart() {
            mInstance++;
            Map<String, HostPresence> hosts = mSnapshots.isEmpty() ? Map.of() : hosts();
            mSnapshots.clear();
            mSnapshots.add(hosts);
        }

        Map<String, HostPresence> hosts() {
            return mSnapshots.get(mSnapshots.size() - 1);
        }

        void change(Random random) {
            Map<String, HostPresence> hosts = new HashMap<>(hosts());
            String host = "h" + random.nextInt(HOSTS);
            int choice = random.nextInt(HostPresence.values().length + 1);
            if (choice == HostPresence.values().length) {
                hosts.remove(host);
            } else {
                hosts.put(host, HostPresence.values()[choice]);
            }
            mSnapshots.add(Map.copyOf(hosts));
        }

        HostListResponse response(HostListQuery query) {
            Map<String, HostPresence> now = hosts();
            int revision = mSnapshots.size() - 1;
            boolean incremental =
                    query.instance().equals("i" + mInstance) && query.sinceRevision() <= revision;
            Map<String, HostPresence> changed = new HashMap<>(now);
            Set<String> removed = new HashSet<>();
            if (incremental) {
                Map<String, HostPresence> then = mSnapshots.get((int) query.sinceRevision());
                changed.entrySet().removeIf(e -> e.getValue() == then.get(e.getKey()));
                removed.addAll(then.keySet());
                removed.removeAll(now.keySet());
            }
            return new HostListResponse(
                    "i" + mInstance,
                    incremental ? OptionalLong.of(query.sinceRevision()) : OptionalLong.empty(),
                    revision,
                    counts(now),
                    changed,
                    removed,
                    List.of());
        }
    }

    /** A response in flight, and the list as it was when the response was built. */
    private record InFlight(
            HostListResponse response, long query, Map<String, HostPresence> list) {}

    /**
     * Guards against errors through lost, duplicate and late responses and restarts of the service:
     * applying a response always results in the list as of that response, never in one older than
     * the copy, and two undisturbed reads result in the present list.
     */
    @Property(tries = 500)
    void copyAlwaysEqualsOneStateOfTheListAndCatchesUp(@ForAll Random random) {
        ListModel list = new ListModel();
        HostListMirror mirror = new HostListMirror();
        List<InFlight> inFlight = new ArrayList<>();
        long queries = 0;
        long applied = -1;
        for (int step = 0; step < STEPS; step++) {
            int kind = random.nextInt(10);
            if (kind < 4) {
                list.change(random);
            } else if (kind == 4 && random.nextInt(4) == 0) {
                list.restart();
            } else if (kind < 7) {
                inFlight.add(
                        new InFlight(
                                list.response(mirror.query(Set.of(), step)),
                                queries++,
                                list.hosts()));
            } else if (!inFlight.isEmpty()) {
                int index = random.nextInt(inFlight.size());
                boolean duplicated = random.nextInt(3) == 0;
                InFlight received = duplicated ? inFlight.get(index) : inFlight.remove(index);
                boolean lost = random.nextInt(4) == 0;
                if (!lost
                        && mirror.apply(received.response(), received.query(), step)
                                == Outcome.APPLIED) {
                    assertThat(received.query()).isGreaterThan(applied);
                    assertThat(mirror.hosts()).isEqualTo(received.list());
                    applied = received.query();
                }
            }
        }
        for (int read = 0; read < 2; read++) {
            mirror.apply(list.response(mirror.query(Set.of(), STEPS)), queries++, STEPS);
        }
        assertThat(mirror.hosts()).isEqualTo(list.hosts());
    }

    /** Guards against a change that the running service omits from its responses. */
    @Example
    void countsRevealAMissingChange() {
        HostListMirror mirror = new HostListMirror();
        Map<String, HostPresence> live = Map.of("h1", HostPresence.LIVE, "h2", HostPresence.LIVE);
        Map<String, HostPresence> leaving =
                Map.of("h1", HostPresence.LEAVING, "h2", HostPresence.LIVE);
        assertThat(mirror.apply(complete(3, live), 0, 0)).isEqualTo(Outcome.APPLIED);
        HostListResponse incomplete =
                new HostListResponse(
                        "i", OptionalLong.of(3), 4, counts(leaving), Map.of(), Set.of(), List.of());
        assertThat(mirror.apply(incomplete, 1, 0)).isEqualTo(Outcome.GAP);
        assertThat(mirror.hosts()).isEqualTo(live);
        assertThat(mirror.query(Set.of(), 0).isComplete()).isTrue();
        assertThat(mirror.apply(complete(4, leaving), 2, 0)).isEqualTo(Outcome.APPLIED);
        assertThat(mirror.hosts()).isEqualTo(leaving);
    }

    /** Guards against a copy that is never read completely again. */
    @Example
    void completeReadIsRepeatedAfterTheInterval() {
        HostListMirror mirror = new HostListMirror();
        long dueMillis = 5 + HostListMirror.COMPLETE_INTERVAL_MILLIS;
        assertThat(mirror.query(Set.of(), 5).isComplete()).isTrue();
        mirror.apply(complete(3, Map.of()), 0, 5);
        assertThat(mirror.query(Set.of("h1"), dueMillis - 1))
                .isEqualTo(new HostListQuery("i", 3, Set.of("h1")));
        assertThat(mirror.query(Set.of(), dueMillis).isComplete()).isTrue();
    }

    private static HostListResponse complete(long revision, Map<String, HostPresence> hosts) {
        return new HostListResponse(
                "i", OptionalLong.empty(), revision, counts(hosts), hosts, Set.of(), List.of());
    }

    private static Map<HostPresence, Integer> counts(Map<String, HostPresence> hosts) {
        Map<HostPresence, Integer> counts = new EnumMap<>(HostPresence.class);
        hosts.values().forEach(presence -> counts.merge(presence, 1, Integer::sum));
        return counts;
    }
}
