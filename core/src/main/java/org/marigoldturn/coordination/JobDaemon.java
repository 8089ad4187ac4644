package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.peer.NettyPeerNetwork;
import org.marigoldturn.peer.PeerListener;
import org.marigoldturn.peer.PeerOptions;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.PrefixMirror;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * A daemon that serves jobs: finds or becomes the owner and forwards clients' calls to it.
 *
 * <p>All state is confined to the control thread; {@link #catalog}, {@link #isReady} and {@link
 * #service} may be used from any thread.
 */
public final class JobDaemon implements OwnerElection.Listener {
    private static final PrefixMirror.Options OPERATOR_MIRROR =
            new PrefixMirror.Options(1_500, 0, 500);

    private static final long RETRY_MILLIS = 200;

    /** Daemons write a UUID. */
    private static final Pattern PEER_TOKEN = Pattern.compile("[0-9a-f-]{36}");

    /**
     * Time to store the writes that were enqueued before a stop; the store responds within 4 ms.
     */
    private static final long FLUSH_TIMEOUT_MILLIS = 1_500;

    /** Time for the writes and for revoking the lease, which otherwise expires soon after. */
    private static final long LEAVE_TIMEOUT_MILLIS = 2_200;

    private final Ports mPorts;
    private final DaemonIdentity mSelf;
    private final JobLimits mLimits;
    private final MetricRegistry mMetrics;
    private final Clocks mClocks = Clocks.system();
    private final ControlLoop mControl = new ControlLoop();
    private final OperatorView mOperator;
    private final OwnerElection mElection;
    private final JobService mService;
    private NettyPeerNetwork mPeers;
    private OwnerRole mRole;
    private volatile boolean mReady;
    private volatile boolean mStopping;

    /** The ports to external systems. */
    public record Ports(
            MetadataStore store,
            TargetClient targets,
            HostClient hosts,
            AdviceClient advice,
            PlatformFormats formats) {}

    /** Creates a daemon that does nothing yet. */
    public JobDaemon(Ports ports, DaemonIdentity self, JobLimits limits, MetricRegistry metrics) {
        mPorts = ports;
        mSelf = self;
        mLimits = limits;
        mMetrics = metrics;
        mOperator = new OperatorView(ports.formats(), this::onOperatorChange, mClocks, metrics);
        mElection = new OwnerElection(ports.store(), mControl, mClocks, self, this);
        mService = new JobService(mControl, mClocks, metrics);
    }

    /** Starts to read the store; returns at once. */
    public void start() {
        Logger.info(
                "daemon: event=start id={} zone={} peerPort={}",
                mSelf.id(),
                mSelf.zone(),
                mSelf.peerPort());
        mControl.execute(
                () -> {
                    new PrefixMirror(
                                    mPorts.store(),
                                    mPorts.formats().operatorPrefix(),
                                    OPERATOR_MIRROR,
                                    mOperator,
                                    mControl,
                                    (delay, task) -> mControl.after("operator", delay, task),
                                    mClocks.monotonicMillis())
                            .start();
                    findPeerToken();
                });
    }

    /** Returns the newest configuration. */
    public Optional<QueueCatalog> catalog() {
        return mOperator.catalog();
    }

    /** Returns whether clients' calls can be handled. */
    public boolean isReady() {
        return mReady && !mStopping;
    }

    /** Returns the service that forwards clients' calls to the owner. */
    public JobService service() {
        return mService;
    }

    /**
     * Stops being ready and gives up ownership once pending writes are stored; blocks for a limited
     * time.
     */
    public void stop() {
        mStopping = true;
        Logger.info("daemon: event=stop id={}", mSelf.id());
        CompletableFuture<Void> left = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    CompletableFuture<Void> flushed =
                            mRole == null
                                    ? CompletableFuture.completedFuture(null)
                                    : mRole.prepareToLeave();
                    flushed.orTimeout(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .whenComplete((done, failure) -> mControl.execute(() -> leave(left)));
                });
        left.orTimeout(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(
                        failure -> {
                            Logger.warn("daemon: event=lease-left-to-end cause={}", failure);
                            return null;
                        })
                .join();
    }

    private void leave(CompletableFuture<Void> left) {
        boolean actsNoMore = mRole == null || !mRole.hasOpenHostOrders();
        mElection
                .leave(actsNoMore)
                .whenComplete(
                        (done, failure) -> {
                            if (failure == null) {
                                left.complete(null);
                            } else {
                                left.completeExceptionally(failure);
                            }
                        });
    }

    /**
     * Reads the token of the peer protocol, or creates it if no daemon has done so before or
     * another writer has damaged it.
     */
    private void findPeerToken() {
        mPorts.store()
                .read(StoreLayout.PEER_TOKEN)
                .thenCompose(this::createTokenIfAbsent)
                .whenComplete(
                        (token, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null && token.isPresent()) {
                                                startPeers(token.get());
                                            } else {
                                                mControl.after(
                                                        "peer token",
                                                        RETRY_MILLIS,
                                                        this::findPeerToken);
                                            }
                                        }));
    }

    private CompletableFuture<Optional<String>> createTokenIfAbsent(Optional<StoredValue> known) {
        Optional<String> usable =
                known.map(value -> value.value().toStringUtf8())
                        .filter(PEER_TOKEN.asMatchPredicate());
        if (usable.isPresent()) {
            return CompletableFuture.completedFuture(usable);
        }
        long knownRevision = known.map(StoredValue::modRevision).orElse(Compare.ABSENT);
        if (knownRevision != Compare.ABSENT) {
            Logger.error("daemon: event=unreadable-peer-token rev={}", knownRevision);
        }
        String token = UUID.randomUUID().toString();
        return mPorts.store()
                .commit(
                        List.of(new Compare(StoreLayout.PEER_TOKEN, knownRevision)),
                        List.of(
                                new Operation.Put(
                                        StoreLayout.PEER_TOKEN, ByteString.copyFromUtf8(token))),
                        List.of())
                .thenApply(result -> result.committed() ? Optional.of(token) : Optional.empty());
    }

    private void startPeers(String token) {
        mPeers =
                new NettyPeerNetwork(
                        new PeerOptions(
                                mSelf.id(),
                                token,
                                new InetSocketAddress(mSelf.address(), mSelf.peerPort())),
                        (sender, message) -> mService.onPeerCall(message),
                        new EndedPeerListener(),
                        mMetrics);
        mPeers.start();
        mService.setPeers(mPeers);
        mElection.start();
    }

    @Override
    public void onElected(long term, long termRevision, TakeoverTimes times) {
        mRole =
                new OwnerRole(
                        new OwnerContext(
                                mSelf,
                                term,
                                termRevision,
                                mPorts.store(),
                                mPorts.targets(),
                                mPorts.hosts(),
                                mPorts.advice(),
                                mPorts.formats(),
                                mControl,
                                mClocks,
                                mLimits,
                                mMetrics,
                                times,
                                mElection.ownershipLease(),
                                mElection.storeRegainedMillis(),
                                mElection::onFenced,
                                mElection::confirmNow),
                        mOperator);
        mService.setRole(mRole);
        mRole.start();
        updateReady();
    }

    @Override
    public void onConfirmed() {
        if (mRole != null) {
            mRole.onOwnershipConfirmed();
        }
    }

    @Override
    public void onDeposed(String reason) {
        if (mRole != null) {
            mRole.close();
            mRole = null;
        }
        mService.setRole(null);
        updateReady();
    }

    @Override
    public void onOwner(OwnerRecord owner) {
        mService.setOwner(owner);
        mPeers.updateMembers(JobService.membersOf(owner, mSelf.id()));
        updateReady();
    }

    private void onOperatorChange() {
        if (mRole != null) {
            mRole.onOperatorChange();
        }
        updateReady();
    }

    private void updateReady() {
        mReady = mOperator.catalog().isPresent() && mService.isOwnerKnown();
    }

    /**
     * Passes evidence of ended daemons on to the election; the versions that members report are not
     * used here.
     */
    private final class EndedPeerListener implements PeerListener {
        @Override
        public long heldVersion() {
            return 0;
        }

        @Override
        public void onPong(String memberId, long version, long sentNanos) {}

        @Override
        public void onPing(String senderId, long version) {}

        @Override
        public void onConnectionRefused(String memberId) {
            mControl.execute(() -> mElection.onDaemonEnded(memberId));
        }

        @Override
        public void onAddressTaken(String memberId, String actualId) {
            mControl.execute(() -> mElection.onDaemonEnded(memberId));
        }
    }
}
