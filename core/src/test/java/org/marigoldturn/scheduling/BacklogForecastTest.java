package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Guards against refusals of an account below its share because of the backlog of another. */
class BacklogForecastTest {
    private static final AccountWeights WEIGHTS =
            new AccountWeights(Map.of("small", 1.0, "large", 2.0), 1);

    @Example
    void backlogOfAnAccountAboveItsShareDoesNotAddToTheWaitOfOneBelow() {
        BacklogForecast forecast =
                BacklogForecast.byShares(
                        Map.of("small", 100L, "large", 1_000_000L), "small", 0, 200, WEIGHTS);
        // While the small account's 100 and half of the new 200 are served, the large one gets
        // twice as much.
        assertThat(forecast).isEqualTo(new BacklogForecast(400, 100));
        assertThat(forecast.waitMillis(1_000)).isEqualTo(500);
    }

    @Example
    void othersAddNoMoreThanTheirBacklog() {
        BacklogForecast forecast =
                BacklogForecast.byShares(
                        Map.of("small", 10L, "large", 5_000L), "large", 30, 0, WEIGHTS);
        assertThat(forecast).isEqualTo(new BacklogForecast(40, 5_000));
    }

    @Example
    void workOfMoreUrgentQueuesCountsInFullAlsoBeyondTheEntitlement() {
        JobEntry urgent =
                new JobEntry(
                        SchedulerFixture.job("urgent", "large", SchedulerFixture.step(8, 1_000)),
                        0,
                        0,
                        false);
        BacklogForecast forecast =
                BacklogForecast.byShares(List.of(urgent), "small", 1, 0, WEIGHTS, job -> true);
        assertThat(forecast).isEqualTo(new BacklogForecast(8_000, 0));
    }
}
