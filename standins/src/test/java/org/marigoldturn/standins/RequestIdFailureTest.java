package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.standins.FleetUnderTest.Sent;

/** Tests request ids with real daemons that join and are killed while they own ids. */
class RequestIdFailureTest {
    private static final int JOINED = FleetUnderTest.DAEMONS;
    private static final int KILLED = 1;

    private final SplittableRandom mRandom = new SplittableRandom(30);
    private final Map<String, List<Sent>> mAttempts = new LinkedHashMap<>();

    /**
     * Guards against requests that fail because a daemon joins, and ids that run twice after a join
     * or after the SIGKILL of their owner.
     */
    @Example
    void idsRunAtMostOnceWhenOwnersJoinAndAreKilled() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("ids")) {
            // The first owners grant only ids with a time later than their takeover by a margin.
            FleetUnderTest.await(() -> allGranted(fleet));
            mAttempts.clear();
            joinUnderLoad(fleet);
            assertThat(mAttempts.values()).allMatch(attempts -> attempts.get(0).status() == 200);
            repeatAll(fleet, JOINED);
            killUnderLoad(fleet);
            repeatAll(fleet, 0);
            repeatAll(fleet, JOINED);
            assertRunsAtMostOnce(fleet);
            FleetUnderTest.await(() -> send(fleet, 0, newId()).status() == 200);
        }
    }

    private void joinUnderLoad(FleetUnderTest fleet) throws Exception {
        List<String> idsSentLater = new ArrayList<>();
        CompletableFuture<Integer> started = CompletableFuture.supplyAsync(() -> start(fleet));
        int i = 0;
        while (!started.isDone() || fleet.members(0) <= FleetUnderTest.DAEMONS) {
            send(fleet, i++ % FleetUnderTest.DAEMONS, newId());
            idsSentLater.add(newId());
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(started.join()).isEqualTo(JOINED);
        // The load lasts beyond the acceptance of the member set and the margin after it.
        for (int n = 0; n < 200; n++) {
            send(fleet, i++ % FleetUnderTest.DAEMONS, newId());
            TimeUnit.MILLISECONDS.sleep(20);
            if (n < idsSentLater.size()) {
                send(fleet, i % FleetUnderTest.DAEMONS, idsSentLater.get(n));
            }
        }
    }

    private void killUnderLoad(FleetUnderTest fleet) throws Exception {
        for (int i = 0; i < 60; i++) {
            send(fleet, i % FleetUnderTest.DAEMONS, newId());
        }
        fleet.fleet().daemon(KILLED).kill();
        List<String> ids = new ArrayList<>();
        while (fleet.members(0) > FleetUnderTest.DAEMONS) {
            String id = newId();
            ids.add(id);
            send(fleet, 0, id);
            send(fleet, 2, id);
            TimeUnit.MILLISECONDS.sleep(50);
        }
        ids.forEach(id -> send(fleet, 2, id));
        // New ids are sent until the new owners grant ids again.
        FleetUnderTest.await(() -> send(fleet, 2, newId()).status() == 200);
    }

    private void repeatAll(FleetUnderTest fleet, int daemon) {
        List.copyOf(mAttempts.keySet()).forEach(id -> send(fleet, daemon, id));
    }

    private void assertRunsAtMostOnce(FleetUnderTest fleet) {
        mAttempts.forEach(
                (id, attempts) -> {
                    List<Sent> responded =
                            attempts.stream()
                                    .filter(
                                            s ->
                                                    s.response().exceptionally(e -> null).join()
                                                            != null)
                                    .toList();
                    long succeeded = responded.stream().filter(s -> s.status() == 200).count();
                    assertThat(fleet.runs(id)).as("runs of %s", id).isBetween(succeeded, 1L);
                    if (responded.size() == attempts.size()
                            && responded.stream().allMatch(Sent::isNotRun)) {
                        assertThat(fleet.runs(id)).as("runs of the refused %s", id).isZero();
                    }
                });
    }

    private boolean allGranted(FleetUnderTest fleet) {
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            sent.add(send(fleet, i % FleetUnderTest.DAEMONS, newId()));
        }
        return sent.stream().allMatch(s -> s.status() == 200);
    }

    private String newId() {
        return RequestId.generate(System.currentTimeMillis(), mRandom).toString();
    }

    private Sent send(FleetUnderTest fleet, int daemon, String id) {
        Map<String, String> headers = Map.of("marigoldturn-request-id", id, "x-run-millis", "5");
        Sent sent = fleet.send(daemon, "school", id, headers);
        mAttempts.computeIfAbsent(id, key -> new ArrayList<>()).add(sent);
        return sent;
    }

    private static int start(FleetUnderTest fleet) {
        try {
            return fleet.fleet().startDaemon();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
