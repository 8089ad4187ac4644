package org.marigoldturn.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** Guards against slots that are assigned to daemons which are no longer members. */
class SlotDivisionTest {
    private static final List<String> OLD = List.of("a", "b");
    private static final List<String> NEW = List.of("c");

    @Example
    void newHostsAreDividedAmongThePresentMembersAndOthersKeepTheirDivision() {
        SlotDivision first = SlotDivision.EMPTY.withHosts(Set.of("h1"), OLD, 4);
        SlotDivision second = first.withHosts(Set.of("h1", "h2"), NEW, 9);
        assertThat(second.epoch("h1")).isEqualTo(4);
        assertThat(second.daemons("h1")).isEqualTo(OLD);
        assertThat(second.epoch("h2")).isEqualTo(9);
        assertThat(second.daemons("h2")).isEqualTo(NEW);
    }

    @Example
    void hostsAddedBeforeTheFirstMemberAreDividedWhenItJoins() {
        SlotDivision none = SlotDivision.EMPTY.withHosts(Set.of("h1"), List.of(), 1);
        assertThat(none.daemons("h1")).isEmpty();
        assertThat(none.withHosts(Set.of("h1"), NEW, 2).daemons("h1")).isEqualTo(NEW);
    }

    @Example
    void hostThatIsAddedAgainGetsAnotherEpoch() {
        SlotDivision first = SlotDivision.EMPTY.withHosts(Set.of("h1"), OLD, 1);
        SlotDivision removed = first.withHosts(Set.of(), OLD, 2);
        assertThat(removed).isEqualTo(SlotDivision.EMPTY);
        assertThat(removed.withHosts(Set.of("h1"), OLD, 3).epoch("h1")).isEqualTo(3);
    }

    @Example
    void onlyTheGivenHostsAreReassigned() {
        SlotDivision first = SlotDivision.EMPTY.withHosts(Set.of("h1", "h2"), OLD, 1);
        SlotDivision reassigned = first.reassign(Set.of("h2"), NEW, 7);
        assertThat(reassigned.daemons("h1")).isEqualTo(OLD);
        assertThat(reassigned.daemons("h2")).isEqualTo(NEW);
        assertThat(reassigned.epochs()).containsEntry("h1", 1L).containsEntry("h2", 7L);
        // The commit calls withHosts on this division; it must not divide the hosts again.
        assertThat(reassigned.withHosts(Set.of("h1", "h2"), OLD, 7)).isEqualTo(reassigned);
    }
}
