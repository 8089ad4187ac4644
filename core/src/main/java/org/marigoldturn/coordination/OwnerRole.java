package org.marigoldturn.coordination;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.ReportEffects;
import org.marigoldturn.scheduling.SchedulingPace;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Carries out one term of ownership: reads the stored records, follows the targets and executes the
 * scheduler's decisions.
 *
 * <p>An instance is used from an election until the daemon loses the ownership; each election
 * creates a new one. Confined to the control thread.
 *
 * @see JobScheduler
 * @see OwnerCalls
 */
final class OwnerRole
        implements TargetList.Listener, TargetSession.Callbacks, OrderSender.Listener {
    private static final long TICK_MILLIS = 100;

    /**
     * Target entries that expired while the store was unavailable are written again within about 2
     * s.
     */
    private static final long ENTRY_RECOVERY_MILLIS = 2_500;

    private static final long LOAD_RETRY_MILLIS = 200;

    /** All targets but unresponsive ones respond to their first poll within this time. */
    private static final long FIRST_POLLS_MILLIS = 250;

    private final OwnerContext mContext;
    private final OperatorView mOperator;
    private final GroupCommit mCommits;
    private final TargetSessions mSessions;
    private final RunLog mRunLog;
    private final SchedulingPace mPace = new SchedulingPace();
    private TargetList mTargetList;
    private HostWork mHostWork;
    private long mHostWorkFromMillis;
    private JobScheduler mScheduler;
    private ProgressRecords mProgress;
    private QueueServiceRecord mQueueServices;
    private OwnerCalls mCalls;
    private OrderSender mOrders;
    private AdviceRunner mAdvice;
    private LeaseGrants mLeases;
    private UnreadTargets mUnread;
    private UnreadTargetCheck mUnreadCheck;
    private final UnknownRuns mUnknownRuns;
    private WaitLog mWaitLog;
    private TargetLog mTargetLog;
    private AccountShareMetrics mShareMetrics;
    private PlacementLog mPlacementLog;
    private boolean mTargetListComplete;
    private boolean mServing;
    private boolean mLoggedMayAct = true;
    private boolean mSchedulingRequested;
    private boolean mClosed;

    OwnerRole(OwnerContext context, OperatorView operator) {
        mContext = context;
        mOperator = operator;
        mCommits =
                new GroupCommit(
                        context.store(),
                        context.control(),
                        context.clocks(),
                        context.termRevision(),
                        context.onFenced());
        mUnknownRuns = new UnknownRuns(context, mCommits);
        mSessions = new TargetSessions(context, now -> mLeases.endMillis(now), this);
        mRunLog = new RunLog(context.term());
    }

    /**
     * Starts the takeover; the role serves once the records were read and all targets have
     * reported, at the latest {@link #FIRST_POLLS_MILLIS} after the list of targets is complete.
     */
    void start() {
        readRecords();
    }

    /** Ends the role; pending calls end with an unknown outcome when they time out. */
    void close() {
        mClosed = true;
        mServing = false;
        if (mTargetList != null) {
            mTargetList.close();
        }
        mCommits.close();
        mSessions.closeAll();
        if (mOrders != null) {
            mOrders.close();
            mHostWork.close();
        }
        long now = mContext.clocks().now();
        mRunLog.close(now);
        if (mScheduler != null) {
            mWaitLog.close(now);
            mTargetLog.close(now);
            mShareMetrics.close();
            mPlacementLog.close(now);
        }
    }

    /** Returns the handler of clients' calls; empty until the role serves. */
    Optional<OwnerCalls> calls() {
        return mServing ? Optional.of(mCalls) : Optional.empty();
    }

    /**
     * Begins no more work on hosts; completes once the orders for it have ended and all writes
     * enqueued by then are stored.
     */
    CompletableFuture<Void> prepareToLeave() {
        mUnknownRuns.noteLostTargets(mSessions);
        CompletableFuture<Void> ordersEnded =
                mHostWork == null ? CompletableFuture.completedFuture(null) : mHostWork.finish();
        return ordersEnded.thenCompose(done -> mCommits.flush());
    }

    /**
     * Returns whether work on a host was ordered without a response, so that it may still begin.
     */
    boolean hasOpenHostOrders() {
        return mHostWork != null && mHostWork.hasOpenOrders();
    }

    /** Applies the operator's newest settings. */
    void onOperatorChange() {
        if (mScheduler != null) {
            mOperator.catalog().ifPresent(mScheduler::setCatalog);
            mQueueServices.storeChange();
            mScheduler.setClosedZones(mOperator.closedZones());
            requestScheduling();
        }
    }

    private void readRecords() {
        if (mClosed) {
            return;
        }
        Optional<QueueCatalog> catalog = mOperator.catalog();
        if (catalog.isEmpty()) {
            mContext.control().after("wait for a catalog", LOAD_RETRY_MILLIS, this::readRecords);
            return;
        }
        OwnerRecords.read(mContext.store())
                .whenComplete(
                        (records, failure) ->
                                mContext.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        load(records);
                                                    } else {
                                                        retryReadRecords(failure);
                                                    }
                                                }));
    }

    private void retryReadRecords(Throwable failure) {
        Logger.warn(
                "owner: event=records-unread term={} cause={}",
                mContext.term(),
                failure.getMessage());
        mContext.control().after("read records", LOAD_RETRY_MILLIS, this::readRecords);
    }

    private void load(OwnerRecords records) {
        if (mClosed) {
            return;
        }
        long now = mContext.clocks().now();
        mScheduler =
                new JobScheduler(
                        mOperator.catalog().orElseThrow(),
                        mContext.term(),
                        mUnknownRuns.electedMillis(),
                        mUnknownRuns.longestMillis(),
                        TargetLeases.longestMillis(mContext.limits().maxLeaseMillis()));
        mScheduler.setEntitlementWindow(mContext.limits().entitlementWindowMillis());
        mScheduler.setFarFactor(mContext.limits().farFactor());
        mPlacementLog = new PlacementLog(mScheduler, mContext.term(), mContext.metrics());
        mShareMetrics = new AccountShareMetrics(mScheduler, mContext.metrics());
        mScheduler.setClosedZones(mOperator.closedZones());
        mScheduler.holdRestoredJobsUntil(mContext.storeRegainedMillis() + ENTRY_RECOVERY_MILLIS);
        mHostWorkFromMillis =
                now + EarlierOwners.certainMillis(mContext.times().earlierOwnersActMillis());
        mProgress = new ProgressRecords(mScheduler, mCommits);
        mQueueServices =
                new QueueServiceRecord(
                        mScheduler.queueServices(),
                        mCommits,
                        mContext.term(),
                        this::requestScheduling);
        mQueueServices.restore(records.queueServices());
        mHostWork = new HostWork(mContext, mOperator, mScheduler, mCommits);
        mOrders = new OrderSender(mContext, mScheduler, mSessions, mRunLog, this::mayStart, this);
        mAdvice = new AdviceRunner(mContext, mScheduler, this::requestScheduling);
        mCalls =
                new OwnerCalls(
                        mScheduler,
                        mCommits,
                        mOperator,
                        mContext.clocks(),
                        mContext.metrics(),
                        this::requestScheduling);
        int doneTasks = records.restoreInto(mScheduler, mCommits, now);
        mHostWork.load(records.hosts());
        Logger.info(
                "owner: event=records-read term={} jobs={} active={} doneTasks={} targets={}",
                mContext.term(),
                records.jobs().size(),
                mScheduler.activeJobs(),
                doneTasks,
                records.targets().size());
        mUnreadCheck =
                new UnreadTargetCheck(
                        mScheduler, mContext.hosts(), mContext.control(), this::onEnded);
        mUnread = new UnreadTargets(mContext.term(), mScheduler::targets);
        mWaitLog = new WaitLog(mContext.term(), mScheduler.longRunningWaits(), mContext.metrics());
        mTargetLog = new TargetLog(mContext.term(), mScheduler::targets);
        mTargetList = new TargetList(mContext, mScheduler, mSessions, mCommits, mRunLog, this);
        mLeases = new LeaseGrants(mContext, mScheduler::targets, mTargetList::countRecords);
        mUnknownRuns.restore(mScheduler, mTargetList, records);
        mTargetList.start();
    }

    @Override
    public void beforeTargetChange() {
        updateOwnership();
    }

    @Override
    public void onTargetsUpToDate() {
        if (!mTargetListComplete) {
            mTargetListComplete = true;
            mContext.control().after("first polls", FIRST_POLLS_MILLIS, this::serve);
        }
        serveOnceTargetsAreUsable();
        requestScheduling();
    }

    /**
     * Serves once all targets have reported and are recorded, since the admission of jobs depends
     * on their free capacity.
     */
    private void serveOnceTargetsAreUsable() {
        if (!mServing && mTargetListComplete && mUnread.isEmpty()) {
            serve();
        }
        mUnread.logIfAllRead();
    }

    @Override
    public void onTargetRecorded() {
        serveOnceTargetsAreUsable();
        requestScheduling();
    }

    private void serve() {
        if (mServing || mClosed) {
            return;
        }
        mServing = true;
        mUnread.logServing();
        mUnknownRuns.onServing();
        tick();
    }

    @Override
    public CompletableFuture<Void> onFirstResponse(TargetState target) {
        return CompletableFuture.allOf(
                mUnknownRuns.onFirstResponse(target.entry()),
                mTargetList.markRestarted(target, mContext.clocks().now()));
    }

    @Override
    public CompletableFuture<Void> onReport(
            TargetState target, TargetClient.PollResponse response, long pollSentMillis) {
        updateOwnership();
        long now = mContext.clocks().now();
        ReportEffects effects =
                mScheduler.onReport(
                        target, response.report(), pollSentMillis, now, mContext.clocks().epoch());
        mLeases.onResponse(target, pollSentMillis);
        mUnknownRuns.onTargetKnown();
        mTargetList.onReport(target);
        for (TargetReport.RunEnd end : response.report().ends()) {
            mContext.metrics().counter("runs.ended." + end.kind()).inc();
        }
        mRunLog.logReport(target, effects, now);
        mProgress.storeChanges();
        serveOnceTargetsAreUsable();
        requestScheduling();
        return mProgress.whenConfirmable(response.report());
    }

    @Override
    public void onEndsConfirmed(TargetState target, long upTo) {
        mRunLog.logEndsConfirmed(target, upTo, mContext.clocks().now());
    }

    @Override
    public void onEnded(TargetState target) {
        if (mClosed) {
            return;
        }
        Logger.info(
                "target: event=ended target={} born={}",
                target.entry().id(),
                target.entry().startedEpochMillis());
        mSessions.close(target);
        updateOwnership();
        long now = mContext.clocks().now();
        mScheduler.onTargetEnded(target, now);
        mRunLog.logEndedRuns(mScheduler.takeEndedRuns(), now);
        mUnknownRuns.onTargetKnown();
        serveOnceTargetsAreUsable();
        requestScheduling();
    }

    @Override
    public void onRestarted(TargetState target, long startedEpochMillis) {
        if (mClosed || !mScheduler.isKnown(target)) {
            return;
        }
        updateOwnership();
        mTargetList.onRestarted(target, startedEpochMillis, mContext.clocks().now());
        mUnknownRuns.onTargetKnown();
        serveOnceTargetsAreUsable();
        requestScheduling();
    }

    @Override
    public void onContactLost(TargetState target) {
        mScheduler.onContactLost(target);
    }

    @Override
    public void onFenced(TargetState target) {
        Logger.warn("owner: event=fenced term={} target={}", mContext.term(), target.entry().id());
        mContext.onFenced().run();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        mContext.control().after("tick", TICK_MILLIS, this::tick);
        long now = mContext.clocks().now();
        // Until then an earlier owner may order work on the same hosts.
        if (updateOwnership() && now >= mHostWorkFromMillis) {
            mHostWork.tick(now);
        } else {
            mHostWork.markTargets();
        }
        mScheduler.expireLeases(now);
        mRunLog.logEndedRuns(mScheduler.takeEndedRuns(), now);
        mRunLog.reportLeftOut(now);
        mUnreadCheck.tick(now);
        mWaitLog.tick(mayStart(), now, mContext.clocks().epoch());
        mTargetLog.tick(now);
        mPlacementLog.tick(now);
        mOperator.catalog().ifPresent(catalog -> mShareMetrics.tick(catalog, now));
        mTargetList.updateRecords(now);
        if (!FencingToken.hasNext(mScheduler.countContacts())) {
            Logger.warn("owner: event=out-of-fencing-tokens term={}", mContext.term());
            mContext.onFenced().run();
        }
        mTargetList.markRecordsComplete(now);
        mQueueServices.tick(now);
        forgetOldJobs();
        logMayActChange();
        requestScheduling();
    }

    /**
     * Passes on to the scheduler what is known of the ownership; returns whether this daemon is
     * certainly the owner.
     */
    private boolean updateOwnership() {
        boolean certain =
                mContext.ownershipLease()
                        .isCertain(mContext.clocks().now(), mContext.clocks().epoch());
        mScheduler.setOwnership(certain, mContext.ownershipLease().confirmedMillis());
        return certain;
    }

    /** Applies a confirmation that this daemon was the owner when it was requested. */
    void onOwnershipConfirmed() {
        if (mScheduler != null) {
            updateOwnership();
            mScheduler.expireLeases(mContext.clocks().now());
            requestScheduling();
        }
    }

    private boolean mayAct() {
        return mContext.ownershipLease().mayAct(mContext.clocks().now(), mContext.clocks().epoch());
    }

    private boolean mayStart() {
        return mLeases.mayStart(mContext.clocks().now());
    }

    private void logMayActChange() {
        boolean mayAct = mayAct();
        if (mayAct != mLoggedMayAct) {
            mLoggedMayAct = mayAct;
            Logger.warn(
                    "owner: event={} term={}",
                    mayAct ? "acts-again" : "waits-for-store",
                    mContext.term());
        }
    }

    private void forgetOldJobs() {
        long before = mContext.clocks().epoch() - mContext.limits().endedJobRetentionMillis();
        for (String jobId : mScheduler.forgetEndedBefore(before)) {
            mCommits.delete(StoreLayout.job(jobId));
            mCommits.delete(StoreLayout.progress(jobId));
        }
    }

    /** Runs the scheduler once after the waiting events, or when its pace allows it. */
    @Override
    public void requestScheduling() {
        if (mSchedulingRequested || mClosed) {
            return;
        }
        mSchedulingRequested = true;
        long delayMillis = mPace.delayMillis(mContext.clocks().now());
        if (delayMillis == 0) {
            mContext.control().execute(this::runScheduler);
        } else {
            mContext.control().after("scheduling pass", delayMillis, this::runScheduler);
        }
    }

    private void runScheduler() {
        mSchedulingRequested = false;
        if (mClosed || !mServing) {
            return;
        }
        mProgress.storeChanges();
        if (!mayStart()) {
            return;
        }
        boolean certain = updateOwnership();
        long now = mContext.clocks().now();
        if (certain && mScheduler.lacksConfirmation(now)) {
            mContext.confirmOwnership().run();
        }
        for (Order order : mScheduler.decide(now, mContext.clocks().epoch())) {
            mOrders.send(order);
        }
        // A job that ran out of attempts must not be shown as failed before its write is enqueued.
        mProgress.storeChanges();
        mAdvice.run(now);
        mPace.onPass(now, mContext.clocks().now());
    }
}
