package org.marigoldturn.daemon;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.marigoldturn.clientlimits.ClientGuard;
import org.marigoldturn.clientlimits.ClientLimits;
import org.marigoldturn.entry.DrainState;
import org.marigoldturn.entry.EntryDependencies;
import org.marigoldturn.entry.EntryServer;
import org.marigoldturn.entry.OnDemandTimer;
import org.marigoldturn.membership.MembershipController;
import org.marigoldturn.membership.RoleHolder;
import org.marigoldturn.operator.DecisionRecord;
import org.marigoldturn.operator.OperatorParts;
import org.marigoldturn.operator.OperatorService;
import org.marigoldturn.operator.RingDecisionLog;
import org.marigoldturn.peer.NettyPeerNetwork;
import org.marigoldturn.peer.PeerOptions;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.shares.EntitlementTable;
import org.marigoldturn.store.EtcdJsonStore;
import org.marigoldturn.store.HostDirectory;
import org.marigoldturn.store.HttpHostDirectory;
import org.marigoldturn.store.KeyValueStore;

/**
 * An entry daemon: creates its components, connects them, and starts and stops them.
 *
 * <p>Only the control thread changes control state; the request path reads published states.
 */
public final class EntryDaemon implements AutoCloseable {
    private static final int DECISION_LOG_CAPACITY = 10_000;
    private static final long WAIT_INTERVAL_MILLIS = 50;
    private static final long CONFIRM_INTERVAL_MILLIS = 500;
    private static final long CLAIM_HANDOVER_INTERVAL_MILLIS = 100;
    private static final long SHARE_INTERVAL_MILLIS = 1_000;
    private static final long HOST_LIST_INTERVAL_MILLIS = 2_000;

    private final EntryConfig mConfig;
    private final Optional<TlsKeyPair> mTls;
    private final String mId;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ControlLoop mControl = new ControlLoop();
    private final OnDemandTimer mWaitTimer =
            mControl.whileNeeded(WAIT_INTERVAL_MILLIS, this::serveWaiting, this::hasWaiting);
    private final StatePublisher mPublisher = new StatePublisher();
    private final KeyValueStore mStore;
    private final SettingsRepository mRepository;
    private final HostDirectory mDirectory;
    private final SettingsSync mSync;
    private final PeerRouter mRouter = new PeerRouter();
    private final NettyPeerNetwork mNetwork;
    private final PeerLink mPeers;
    private final EndedDaemons mEndedDaemons = new EndedDaemons();
    private final MembershipController mController;
    private final MembershipService mMembership;
    private final RightsLedger mLedger;
    private final RightsService mRights;
    private final ShareService mShares;
    private final PeerClaimRegistry mClaims;
    private final RequestClaims mClaimTable;
    private final DrainState mDrain;
    private final RingDecisionLog mDecisions = new RingDecisionLog(DECISION_LOG_CAPACITY);
    private final EntryServer mEntry;
    private final HostListService mHosts;
    private final HealthService mHealth;
    private final FleetStatusService mStatus;
    private final RoleHolder mPlannerRole;
    private final RoleHolder mRightsRole;
    private final PlannerService mPlanner;
    private final Server mCallerServer;
    private final Server mOperatorServer;
    private boolean mStarted;

    /** Creates a daemon that is not started; fails if a TLS file can't be read or is invalid. */
    public EntryDaemon(EntryConfig config) {
        mConfig = config;
        mTls = Optional.ofNullable(config.tls()).map(TlsFiles::keyPair);
        List<X509Certificate> targetCas =
                config.targetCaFile() == null
                        ? List.of()
                        : TlsFiles.certificates("targetCaFile", config.targetCaFile());
        mId = config.name() + "-" + HexFormat.of().toHexDigits(new SecureRandom().nextInt());
        mStore = new EtcdJsonStore(config.storeEndpoint(), config.storeTimeoutMillis());
        mRepository = new SettingsRepository(mStore, config.storePrefix());
        mDirectory = new HttpHostDirectory(config.hostListEndpoint(), config.storeTimeoutMillis());
        mSync =
                new SettingsSync(
                        mStore, mRepository, mPublisher, mControl, System::currentTimeMillis);
        mNetwork = new NettyPeerNetwork(peerOptions(), mRouter, mRouter, mMetrics);
        mPeers = new PeerLink(mId, mNetwork, mRouter);
        mLedger = new RightsLedger(mId);
        mClaimTable = new RequestClaims(mId);
        mClaims = new PeerClaimRegistry(mPeers, mClaimTable, mPublisher, System::currentTimeMillis);
        mMembership =
                new MembershipService(
                        mId,
                        mEndedDaemons,
                        mClaimTable,
                        mPublisher,
                        mRepository,
                        mControl,
                        System::currentTimeMillis);
        mController = controller();
        mDrain = new DrainState(config.drainDelayMillis());
        EntitlementTable entitlements = new EntitlementTable();
        mEntry = new EntryServer(entryDependencies(entitlements), mWaitTimer::arm, targetCas);
        mRights = rightsService();
        mShares =
                new ShareService(
                        mLedger,
                        entitlements,
                        mPeers,
                        mPublisher,
                        mEntry.callerService()::demand,
                        System::currentTimeMillis,
                        new SlotReassignment(
                                mPublisher, mRepository, mControl, System::currentTimeMillis),
                        mWaitTimer::arm);
        mHosts = hostListService();
        mHealth =
                new HealthService(
                        mPeers,
                        mPublisher,
                        mEntry.callerService(),
                        mHosts::endedHosts,
                        System::currentTimeMillis);
        mStatus = statusService();
        mPlannerRole = role("planner");
        mRightsRole = role("rights");
        mPlanner = plannerService();
        mCallerServer = callerServer();
        mOperatorServer = operatorServer();
    }

    /** Starts the daemon and prints its ports on one line. */
    public void start() {
        mCallerServer.start().join();
        mOperatorServer.start().join();
        connect();
        int peerPort = mNetwork.start();
        Member self =
                new Member(
                        mId,
                        mConfig.zone(),
                        mConfig.address(),
                        mConfig.advertisedPeerPort() == 0 ? peerPort : mConfig.advertisedPeerPort(),
                        mOperatorServer.activeLocalPort(),
                        System.currentTimeMillis());
        mControl.execute(() -> mController.join(self));
        schedule();
        mStarted = true;
        System.out.printf(
                "ready callers=%d operators=%d peers=%d id=%s%n",
                mCallerServer.activeLocalPort(), mOperatorServer.activeLocalPort(), peerPort, mId);
    }

    /** Shuts the daemon down, gracefully if it was started; returns when it has stopped. */
    @Override
    public void close() {
        if (mStarted) {
            new GracefulShutdown(shutdownParts()).run();
        }
        mPlannerRole.release();
        mRightsRole.release();
        // In parallel, since each server takes about 2 s to stop its threads.
        CompletableFuture.allOf(mCallerServer.stop(), mOperatorServer.stop()).join();
        mEntry.close();
        mControl.close();
        mDirectory.close();
        mStore.close();
        mNetwork.close();
    }

    private MembershipController controller() {
        return new MembershipController(
                mId,
                StatePublisher.INITIAL,
                new MembershipController.Environment(
                        mStore,
                        mConfig.storePrefix(),
                        mControl,
                        System::nanoTime,
                        mPublisher::publish,
                        mSync::load,
                        mMembership));
    }

    private void connect() {
        mMembership.connect(mController);
        mPublisher.setAdopter(mController::adopt);
        mPublisher.addListener((previous, state) -> mLedger.adopt(state));
        OnDemandTimer claimHandover =
                mControl.whileNeeded(
                        CLAIM_HANDOVER_INTERVAL_MILLIS,
                        mClaims::handOverToJoined,
                        mClaimTable::hasUnconfirmedJoins);
        mPublisher.addListener((previous, state) -> claimHandover.arm());
        mPublisher.addListener(
                (previous, state) -> mControl.execute(() -> mEntry.callerService().startQueued()));
        mController.attach(mNetwork, mNetwork);
        mRouter.connect(
                new PeerRouter.Services(
                        mController,
                        mMembership,
                        mLedger,
                        mRights,
                        mShares,
                        mClaims,
                        mStatus,
                        mHealth,
                        mControl));
    }

    private void schedule() {
        mControl.execute(mSync::load);
        mControl.every("watch", CONFIRM_INTERVAL_MILLIS, mSync::checkWatch);
        mControl.every("membership", CONFIRM_INTERVAL_MILLIS, mController::tick);
        mControl.every("rights", SHARE_INTERVAL_MILLIS, mRights::resendAndAcknowledge);
        mControl.every(
                "shares",
                SHARE_INTERVAL_MILLIS,
                () -> {
                    Set<String> responsiveMembers = mController.respondingMembers();
                    mShares.report(responsiveMembers);
                    mShares.coordinate(responsiveMembers);
                });
        mControl.every("roles", SHARE_INTERVAL_MILLIS, this::tickRoles);
        mControl.every("health", SHARE_INTERVAL_MILLIS, mHealth::tick);
        mControl.every("host list", HOST_LIST_INTERVAL_MILLIS, mHosts::refresh);
        mControl.every("planner", mConfig.plannerIntervalMillis(), mPlanner::tick);
    }

    private void serveWaiting() {
        mRights.transferReserved();
        mShares.serveStarved(mEntry.callerService().hasQueued(), mController::respondingMembers);
    }

    private boolean hasWaiting() {
        return mRights.hasReservations()
                || mShares.hasStarvedReport()
                || mEntry.callerService().hasQueued();
    }

    private void tickRoles() {
        long nowNanos = System.nanoTime();
        mPlannerRole.tick(nowNanos);
        mRightsRole.tick(nowNanos);
        if (mRightsRole.holds(nowNanos)) {
            mRights.redistribute(mController::respondingMembers);
        }
    }

    private PeerOptions peerOptions() {
        return new PeerOptions(
                mId,
                mConfig.peerToken(),
                new InetSocketAddress(mConfig.address(), mConfig.peerPort()));
    }

    private RoleHolder role(String name) {
        return new RoleHolder(mStore, mConfig.storePrefix(), name, mId, mControl);
    }

    private RightsService rightsService() {
        return new RightsService(
                mLedger,
                mEndedDaemons,
                mPeers,
                mPublisher,
                mRepository,
                mControl,
                System::currentTimeMillis,
                () -> mEntry.callerService().startQueued(),
                mWaitTimer::arm);
    }

    private HostListService hostListService() {
        return new HostListService(
                mId,
                mDirectory,
                mEndedDaemons,
                mEntry.callerService().abandonedAttempts(),
                mControl,
                System::currentTimeMillis);
    }

    private PlannerService plannerService() {
        return new PlannerService(
                mPlannerRole,
                mStatus,
                mHosts,
                mHealth::failedHosts,
                mPublisher,
                mRepository,
                mControl,
                System::currentTimeMillis,
                System::nanoTime);
    }

    private Server callerServer() {
        ServerBuilder builder = builder(mConfig.callerPort());
        mEntry.register(builder);
        ClientLimits limits =
                ClientLimits.defaults(mConfig.maxConnections(), Runtime.getRuntime().maxMemory());
        // Readiness is checked at the callers' port, so no port is reserved.
        new ClientGuard(limits, mMetrics, System::nanoTime).register(builder, 0);
        return builder.build();
    }

    private Server operatorServer() {
        ServerBuilder builder =
                builder(mConfig.operatorPort()).maxNumConnections(mConfig.maxOperatorConnections());
        new OperatorService(operatorParts()).register(builder);
        return builder.build();
    }

    private FleetStatusService statusService() {
        return new FleetStatusService(
                mPeers,
                mPublisher,
                mLedger,
                mEntry.callerService()::demand,
                mHealth::failedHosts,
                mEntry::isReady,
                mController::reachesStore);
    }

    private EntryDependencies entryDependencies(EntitlementTable entitlements) {
        return new EntryDependencies(
                mId,
                mPublisher::state,
                mController.gate(),
                mLedger,
                entitlements,
                mClaims,
                host -> mHosts.isLeavingOrEnded(host),
                mDrain,
                this::recordDecision,
                mMetrics,
                System::currentTimeMillis,
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextLong());
    }

    private void recordDecision(String requestId, String step, String detail) {
        mDecisions.add(new DecisionRecord(requestId, System.currentTimeMillis(), step, detail));
    }

    private OperatorParts operatorParts() {
        OperatorSettings settings = new OperatorSettings(mRepository, mPublisher, mControl);
        return new OperatorParts(
                mConfig.operatorToken(),
                mPublisher::state,
                settings::commit,
                mController.acceptance(),
                settings::history,
                mStatus,
                mHealth::failedHosts,
                mDecisions,
                mMembership::removeEndedMember,
                mMetrics,
                System::currentTimeMillis);
    }

    private GracefulShutdown.Parts shutdownParts() {
        return new GracefulShutdown.Parts(
                mDrain,
                mEntry.callerService().abandonedAttempts(),
                mController,
                mLedger,
                mRights,
                mClaims,
                mPeers,
                mPublisher,
                mControl,
                System::currentTimeMillis);
    }

    private ServerBuilder builder(int port) {
        InetSocketAddress address = new InetSocketAddress(mConfig.address(), port);
        ServerBuilder builder = Server.builder();
        return mTls.map(pair -> builder.https(address).tls(pair))
                .orElseGet(() -> builder.http(address));
    }
}
