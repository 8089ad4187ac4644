package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.marigoldturn.standins.FleetUnderTest.Sent;

/** Tests real daemons whose open connections stop delivering while new ones work. */
class SilencedConnectionsTest {
    private static final int HOST = 0;

    private final List<Sent> mSent = new ArrayList<>();

    /**
     * Guards against requests and settings changes that wait forever on connections whose state was
     * lost by a device on the network path.
     */
    @Example
    void requestsAndChangesContinueOverNewConnections() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("silent", true)) {
            sendBatch(fleet);
            assertThat(mSent).allMatch(s -> s.status() == 200);

            // The daemons confirm their version through each other, so no caller fails.
            fleet.fleet().store().setFaults("{\"silent\": true}");
            sendBatch(fleet);
            assertThat(mSent).allMatch(s -> s.status() == 200);
            awaitAcceptedEverywhere(fleet, "silent-store");

            // The daemons confirm their version through the store.
            fleet.stallPeerConnections();
            sendBatch(fleet);
            assertThat(mSent).allMatch(s -> s.status() == 200);
            awaitAcceptedEverywhere(fleet, "silent-peers");

            fleet.fleet().store().setFaults("{\"silent\": true}");
            fleet.stallPeerConnections();
            awaitServed(fleet);
            awaitAcceptedEverywhere(fleet, "silent-both");

            fleet.stallHostConnections(HOST);
            awaitServed(fleet);
            int served = fleet.fleet().host("h" + HOST).records().runs().size();
            FleetUnderTest.await(
                    () -> {
                        sendBatch(fleet);
                        return fleet.fleet().host("h" + HOST).records().runs().size() > served;
                    });
            awaitAcceptedEverywhere(fleet, "silent-host");
            assertThat(fleet.peakRunning("club")).isLessThanOrEqualTo(FleetUnderTest.CLUB_LIMIT);
            fleet.assertNothingRanTwiceOrAfterRefusal(mSent);
        }
    }

    private List<Sent> sendBatch(FleetUnderTest fleet) {
        List<Sent> batch = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            batch.add(fleet.send(i % FleetUnderTest.DAEMONS, i % 2 == 0 ? "school" : "club", 20));
        }
        batch.forEach(s -> s.response().join());
        mSent.addAll(batch);
        return batch;
    }

    private void awaitServed(FleetUnderTest fleet) throws InterruptedException {
        FleetUnderTest.await(() -> sendBatch(fleet).stream().allMatch(s -> s.status() == 200));
    }

    /** Commits a change and waits until it is accepted and all daemons hold it. */
    private static void awaitAcceptedEverywhere(FleetUnderTest fleet, String pool)
            throws InterruptedException {
        String path = "/v1/pools/" + pool;
        FleetUnderTest.await(
                () -> {
                    AggregatedHttpResponse response =
                            fleet.fleet()
                                    .callOperatorPort(
                                            0, HttpMethod.PUT, path, "{\"spare\": false}");
                    return response.status().code() == 200
                            && response.contentUtf8().contains("\"accepted\"");
                });
        for (int i = 0; i < FleetUnderTest.DAEMONS; i++) {
            int daemon = i;
            FleetUnderTest.await(
                    () ->
                            fleet.fleet()
                                            .callOperatorPort(daemon, HttpMethod.GET, path, "")
                                            .status()
                                            .code()
                                    == 200);
        }
    }
}
