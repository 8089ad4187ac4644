package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.peer.NettyPeerNetwork;
import org.marigoldturn.peer.PeerOptions;
import org.marigoldturn.settings.ContentHash;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.StateCodec;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.FakeStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.Transaction;

/** Tests controllers with real transports on loopback and an in-memory store. */
class MembershipControllerTest {
    private static final LoadedState INITIAL =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    private final FakeStore mStore = new FakeStore(System::currentTimeMillis);
    private final List<Daemon> mDaemons = new ArrayList<>();
    private volatile LoadedState mLatest = INITIAL;

    private final class Daemon {
        private final ScheduledExecutorService mControl =
                Executors.newSingleThreadScheduledExecutor();
        private final FakeStore.Connection mConnection = mStore.new Connection();
        private final MembershipController mController;
        private final NettyPeerNetwork mNetwork;

        Daemon(String id) throws Exception {
            mController =
                    new MembershipController(
                            id,
                            INITIAL,
                            new MembershipController.Environment(
                                    mConnection,
                                    "/m/",
                                    mControl,
                                    System::nanoTime,
                                    state -> {},
                                    this::reload,
                                    change -> commit(change.baseVersion(), change.next())));
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            mNetwork =
                    new NettyPeerNetwork(
                            new PeerOptions(id, "token", any),
                            (sender, message) -> mController.handle(sender, message).orElseThrow(),
                            mController,
                            new MetricRegistry());
            mControl.submit(() -> mController.attach(mNetwork, mNetwork)).get();
            Member self = new Member(id, "a", "127.0.0.1", mNetwork.start(), 1, 0);
            mControl.submit(() -> mController.join(self)).get();
            Future<?> unused =
                    mControl.scheduleWithFixedDelay(
                            mController::tick, 0, 100, TimeUnit.MILLISECONDS);
        }

        boolean servesLatest() {
            long latest = mLatest.state().version();
            return mController.gate().heldVersion() == latest
                    && mController.gate().mayServe(latest, System.nanoTime());
        }

        Set<String> respondingMembers() {
            return CompletableFuture.supplyAsync(mController::respondingMembers, mControl).join();
        }

        private void reload() {
            if (mConnection.isReachable()) {
                mController.adopt(mLatest);
            }
        }

        void close() {
            mControl.shutdownNow();
            mNetwork.close();
        }
    }

    @AfterTry
    void closeDaemons() {
        mDaemons.forEach(Daemon::close);
    }

    private synchronized CompletableFuture<Boolean> commit(long base, MemberSet members) {
        VersionedState old = mLatest.state();
        if (base != old.version()) {
            return CompletableFuture.completedFuture(false);
        }
        Map<String, byte[]> contents = new HashMap<>();
        Map<String, String> entries = new HashMap<>();
        StateCodec.encode(old.settings(), members, old.rights())
                .forEach(
                        (path, content) -> {
                            entries.put(path, ContentHash.of(content));
                            contents.put(ContentHash.of(content), content);
                        });
        Manifest manifest = new Manifest(base + 1, "c" + base, "test", 0, entries);
        Operation put = new Operation.Put("/m/manifest", ByteString.EMPTY);
        long revision =
                mStore.new Connection()
                        .commit(Transaction.unconditional(List.of(put)))
                        .join()
                        .revision();
        mLatest = new LoadedState(StateCodec.decode(manifest, contents), contents, revision);
        return CompletableFuture.completedFuture(true);
    }

    private void startThree() throws Exception {
        for (String id : List.of("a", "b", "c")) {
            mDaemons.add(new Daemon(id));
        }
        await(() -> mLatest.state().members().members().size() == 3);
        await(() -> mDaemons.stream().allMatch(Daemon::servesLatest));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - deadline).as("nanoseconds late").isNegative();
            Thread.sleep(10);
        }
    }

    /**
     * Guards against a transfer of rights to a leaving daemon that has already transferred its own.
     */
    @Example
    void aMemberThatSentAFarewellIsNotReportedAsAnswering() throws Exception {
        startThree();
        Daemon first = mDaemons.get(0);
        await(() -> first.respondingMembers().size() == 3);
        Runnable farewell = () -> first.mController.recordEnd("c", EndEvidence.FAREWELL);
        first.mControl.submit(farewell).get();
        assertThat(first.respondingMembers()).containsExactlyInAnyOrder("a", "b");
    }

    /** Guards against a daemon that needs the store to learn of a change. */
    @Example
    void aDaemonWithoutTheStoreReceivesAndServesAnAcceptedChange() throws Exception {
        startThree();
        mDaemons.get(2).mConnection.setReachable(false);
        long next = mLatest.state().version() + 1;

        commit(next - 1, mLatest.state().members()).join();
        AcceptanceResult result =
                mDaemons.get(0).mController.acceptance().awaitAccepted(next, 10_000).join();

        assertThat(result).isEqualTo(new AcceptanceResult(true, List.of()));
        await(() -> mDaemons.stream().allMatch(Daemon::servesLatest));
    }

    @Example
    void aDaemonWhoseProcessEndedIsRemoved() throws Exception {
        startThree();

        mDaemons.get(0).close();

        await(() -> mLatest.state().members().find("a").isEmpty());
        await(() -> mDaemons.get(1).servesLatest() && mDaemons.get(2).servesLatest());
    }
}
