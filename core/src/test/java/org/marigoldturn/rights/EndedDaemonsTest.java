package org.marigoldturn.rights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import net.jqwik.api.Example;

/** Guards against usage reports that are never requested, or requested without end. */
class EndedDaemonsTest {
    @Example
    void reportsAreNeededUntilEachHostIsClear() {
        Set<String> hosts = Set.of("h1", "h2");
        EndedDaemons ended = new EndedDaemons();
        assertThat(ended.hostsToReport(hosts)).isEmpty();
        ended.onEnded("d1", 100);
        assertThat(ended.hostsToReport(hosts)).isEqualTo(hosts);
        ended.onUsageReport("h1", 101, Set.of());
        ended.onUsageReport("h2", 100, Set.of());
        assertThat(ended.hostsToReport(hosts)).containsExactly("h2");
        ended.onUsageReport("h2", 101, Set.of("d1"));
        assertThat(ended.hostsToReport(hosts)).containsExactly("h2");
        ended.onUsageReport("h2", 102, Set.of());
        assertThat(ended.hostsToReport(hosts)).isEmpty();
        assertThat(ended.withoutRequests(hosts)).containsExactly("d1");
        ended.onShutdownMessage("d2", 200);
        assertThat(ended.hostsToReport(hosts)).isEmpty();
    }
}
