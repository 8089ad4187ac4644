package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards against one client account that takes the capacity of the others. */
class AccountShareLoadTest {
    /** The others get within 5% of what they get while the account submits its usual load. */
    private static final double LEAST_PART = 0.95;

    private static final double USUAL = 1;
    private static final double HOT = 6;
    private static final double WEIGHT = 0.5;

    @Property(tries = 5, seed = "1")
    void othersKeepTheirShareBesideAnAccountAtSixTimesItsLoad(
            @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        int usual = others(new ShareLoadSimulation(USUAL, WEIGHT, seed));
        int hot = others(new ShareLoadSimulation(HOT, WEIGHT, seed));
        int withoutShares = others(new ShareLoadSimulation(HOT, 0, seed));

        assertThat(hot).isGreaterThanOrEqualTo((int) (LEAST_PART * usual));
        assertThat(withoutShares).isLessThan((int) (LEAST_PART * usual));
    }

    @Property(tries = 5, seed = "2")
    void othersKeepTheirShareOverAChangeOfTheOwner(
            @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        // In the middle of the second burst.
        long changeMillis = 20_000;
        int usual =
                others(new ShareLoadSimulation(USUAL, WEIGHT, seed).changeOwnerAt(changeMillis));
        int hot = others(new ShareLoadSimulation(HOT, WEIGHT, seed).changeOwnerAt(changeMillis));

        assertThat(hot).isGreaterThanOrEqualTo((int) (LEAST_PART * usual));
    }

    @Property(tries = 5, seed = "3")
    void capacityThatOthersLeaveIsUsed(@ForAll @LongRange(min = 1, max = 1_000) long seed) {
        // Alone, the account asks for 1.44 times the capacity during a burst.
        double alone = 24;
        Map<String, Integer> withShares =
                new ShareLoadSimulation(alone, WEIGHT, seed).withoutOthers().run();
        Map<String, Integer> withoutShares =
                new ShareLoadSimulation(alone, 0, seed).withoutOthers().run();

        String account = ShareLoadSimulation.HOT_ACCOUNT;
        assertThat(withShares.get(account))
                .isGreaterThanOrEqualTo((int) (LEAST_PART * withoutShares.get(account)));
    }

    private static int others(ShareLoadSimulation simulation) {
        return ShareLoadSimulation.sumOfOthers(simulation.run());
    }
}
