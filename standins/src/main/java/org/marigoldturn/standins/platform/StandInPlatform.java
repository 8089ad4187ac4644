package org.marigoldturn.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for the users' platform in one process: metadata store, targets, host service and policy
 * service.
 *
 * <p>The store can be made to leave all calls without a response, or to lose certain writes. Thread
 * safe.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final long ENTRY_INTERVAL_MILLIS = 500;
    private static final long MAINTENANCE_MILLIS = 300;

    /** An entry that is no longer written is removed after this time. */
    private static final long ENTRY_EXPIRY_MILLIS = 4_000;

    private final StandInStore mStore = new StandInStore();
    private final StandInRuns mRuns = new StandInRuns();
    private final Map<String, StandInTarget> mTargets = new ConcurrentHashMap<>();
    private final Set<String> mCutFromStore = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final StandInStoreAccess mStoreAccess = new StandInStoreAccess(mStore);
    private final StandInHostService mHosts =
            new StandInHostService(mTargets.values(), this::beginMaintenance);
    private final StandInPolicyService mPolicyService = new StandInPolicyService();
    private int mLastTargetNumber;

    /** Starts the services; no target runs yet. */
    public StandInPlatform() {
        mTimer.scheduleWithFixedDelay(
                () -> mStore.expireLeases(StandInStoreAccess.nowMillis()),
                50,
                50,
                TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(
                this::writeTargetEntries, 0, ENTRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the address of the store for one client. */
    public String storeAddress(String client) {
        return mStoreAccess.address(client);
    }

    /** Like {@link #setStoreUnavailable}, for the calls of one client. */
    public void setStoreUnavailable(String client, boolean unavailable) {
        mStoreAccess.setUnavailable(client, unavailable);
    }

    /** Returns the address of the host service. */
    public String hostsAddress() {
        return mHosts.address();
    }

    /** Returns the policy service. */
    public StandInPolicyService policyService() {
        return mPolicyService;
    }

    /** Writes a text as the operator does. */
    public void put(String key, String text) {
        mStore.put(key, text);
    }

    /** Writes any bytes, as another writer may do. */
    public void put(String key, byte[] value) {
        mStore.put(key, value);
    }

    /** Deletes a key as the operator does. */
    public void delete(String key) {
        mStore.delete(key);
    }

    /** Returns the text of a key; empty if there is none. */
    public String text(String key) {
        return mStore.text(key);
    }

    /**
     * Drops the store's history, so that watches since an older revision get status 410 and must
     * read all keys again.
     */
    public void compact() {
        mStore.compact();
    }

    /**
     * Sets whether the store leaves all calls without a response; calls that wait are carried out
     * when it responds again.
     */
    public void setStoreUnavailable(boolean unavailable) {
        mStoreAccess.setUnavailable(unavailable);
    }

    /**
     * Leaves each transaction that writes a key with this prefix without an effect and without a
     * response; all other calls are carried out.
     */
    public void loseWrites(String keyPrefix) {
        mStoreAccess.loseWrites(keyPrefix);
    }

    /** Carries out all further transactions; the lost ones stay without an effect. */
    public void stopLosingWrites() {
        mStoreAccess.stopLosingWrites();
    }

    /** Returns the keys of all writes that were lost. */
    public Set<String> lostWrites() {
        return mStoreAccess.lostWrites();
    }

    /** Starts a target whose tasks run for the given time, and returns its id. */
    public String addTarget(String service, String hostId, long taskMillis) {
        return addTarget(service, hostId, "a", taskMillis);
    }

    /** Like {@link #addTarget(String, String, long)}, with the label of a kind of hosts. */
    public String addTarget(String service, String hostId, String kind, long taskMillis) {
        return add(service, hostId, kind, taskMillis, true);
    }

    /** Starts a target that is listed and never responds to a call, and returns its id. */
    public String addUnresponsiveTarget(String service, String hostId) {
        return add(service, hostId, "a", 0, false);
    }

    private synchronized String add(
            String service, String hostId, String kind, long taskMillis, boolean responds) {
        String id = "i-" + (++mLastTargetNumber);
        StandInTarget target =
                new StandInTarget(
                        StandInTargetEntry.of(id, service, hostId, kind), taskMillis, mRuns);
        if (!responds) {
            target.stopResponding();
        }
        mTargets.put(id, target);
        mStore.put("servers/" + id, target.entry("ready"));
        return id;
    }

    /**
     * Stops a target at once, as in a crash; its entry stays in the store and is no longer updated.
     */
    public void crashTarget(String id) {
        mTargets.remove(id).close();
    }

    /** Returns the address at which the present incarnation of a target serves. */
    public String address(String id) {
        return mTargets.get(id).address();
    }

    /** Lists a target under the address of a relay to it, also after a restart. */
    public void listUnder(String id, String address) {
        mTargets.get(id).listUnder(address);
        mStore.put("servers/" + id, mTargets.get(id).entry("ready"));
    }

    /**
     * Ends a target at once, as its host's loss of power does, and starts its next incarnation,
     * which has the same id and is listed under the same address of a relay. The entry remains that
     * of the former one until {@link #reconnectTarget}.
     */
    public synchronized void restartTarget(String id, String kind) {
        mCutFromStore.add(id);
        mTargets.put(id, mTargets.get(id).restart(kind));
    }

    /**
     * Ends a target at once, as its host's loss of power does: its runs end, calls to its address
     * get no response, and its entry is removed.
     */
    public synchronized void losePower(String id) {
        mTargets.get(id).losePower();
        mStore.delete("servers/" + id);
    }

    /** Leaves all further calls to a target without a response; its runs go on under its lease. */
    public void stopResponding(String id) {
        mTargets.get(id).stopResponding();
    }

    void startResponding(String id) {
        mTargets.get(id).startResponding();
    }

    StandInRuns runs() {
        return mRuns;
    }

    /** Like {@link #stopResponding}, for the calls of owners with a newer term than the present. */
    public void stopRespondingToNewerTerms(String id) {
        mTargets.get(id).stopRespondingToNewerTerms();
    }

    /**
     * Leaves all further orders to a target without an effect and a response, but not the polls.
     */
    public void loseOrders(String id) {
        mTargets.get(id).loseOrders();
    }

    /**
     * Leaves all further orders to a target without a response, but not the polls; starts are
     * carried out after the given time, stops are not.
     */
    public void loseOrdersAndStartLate(String id, long delayMillis) {
        mTargets.get(id).loseOrdersAndStartLate(delayMillis);
    }

    /** Returns the number of start orders to a target that were lost. */
    public int countLostStarts(String id) {
        return mTargets.get(id).countLostStarts();
    }

    /**
     * Returns the newest term whose owner has read all targets that respond; 0 if there is none.
     */
    public long lastTermThatReadAllTargets() {
        return mTargets.values().stream()
                .filter(StandInTarget::responds)
                .mapToLong(StandInTarget::lastReadTerm)
                .min()
                .orElse(0);
    }

    /**
     * Lets hosts stay in maintenance once it has begun: calls to the address of their target get no
     * response, and its entry is removed only when it expires.
     */
    public void keepHostsInMaintenance() {
        mHosts.keepInMaintenance();
    }

    /** Sets whether the host service leaves calls for the list of hosts without a response. */
    public void setHostListUnavailable(boolean unavailable) {
        mHosts.setListUnavailable(unavailable);
    }

    /** Cuts a target off from the store, and lets its entry expire; it goes on with its tasks. */
    public void cutTargetFromStore(String id) {
        mCutFromStore.add(id);
        mStore.delete("servers/" + id);
    }

    /** Writes the entries of a target that was cut off from the store again. */
    public void reconnectTarget(String id) {
        mCutFromStore.remove(id);
        mStore.put("servers/" + id, mTargets.get(id).entry("ready"));
    }

    /** Lets all targets delay stop orders until {@link #endRuns} is called for them. */
    public void delayStops() {
        mTargets.values().forEach(StandInTarget::delayStops);
    }

    /** Ends all runs on a target as done; stop orders that it has delayed come too late. */
    public void endRuns(String id) {
        mTargets.get(id).endRuns();
    }

    /** Returns the tasks with an end {@code done} on one target that an owner has confirmed. */
    public List<String> confirmedDone(String id) {
        return mRuns.confirmedDone(id);
    }

    /** Returns the number of polls that a target has accepted. */
    public int countPolls(String id) {
        return mTargets.get(id).countPolls();
    }

    /** Lets a target carry out further calls but hold back each response for 60 s. */
    public void holdBackResponses(String id) {
        mTargets.get(id).holdBackResponses();
    }

    /** Returns the tasks that were started on one target. */
    public List<String> starts(String id) {
        return mTargets.get(id).starts();
    }

    /** Returns all tasks that were started on the targets that exist now. */
    public List<String> starts() {
        List<String> all = new ArrayList<>();
        mTargets.values().forEach(target -> all.addAll(target.starts()));
        return all;
    }

    /** Returns the number of runs on all targets. */
    public int countRunning() {
        return mTargets.values().stream().mapToInt(StandInTarget::countRunning).sum();
    }

    /** Returns the ids of the targets on which tasks run. */
    public List<String> targetsInUse() {
        return mTargets.values().stream()
                .filter(target -> target.countRunning() > 0)
                .map(StandInTarget::id)
                .toList();
    }

    /** Returns the hosts whose maintenance has begun, also the ended ones, in order. */
    public List<String> hostsInMaintenance() {
        return mHosts.inMaintenance();
    }

    private synchronized void writeTargetEntries() {
        for (StandInTarget target : mTargets.values()) {
            if (target.hasPower() && !mCutFromStore.contains(target.id())) {
                mStore.put("servers/" + target.id(), target.entry("ready"));
            }
        }
    }

    private synchronized void beginMaintenance(StandInTarget target, boolean stays) {
        if (stays) {
            target.losePower();
            mTimer.schedule(
                    () -> mStore.delete("servers/" + target.id()),
                    ENTRY_EXPIRY_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        mTargets.remove(target.id());
        mStore.delete("servers/" + target.id());
        target.close();
        mTimer.schedule(
                () -> addTarget("service", target.hostId(), 300),
                MAINTENANCE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        List<CompletableFuture<Void>> stopped = new ArrayList<>();
        mTargets.values().forEach(target -> stopped.add(target.stop()));
        stopped.add(mStoreAccess.stop());
        stopped.add(mHosts.stop());
        stopped.add(mPolicyService.stop());
        stopped.forEach(CompletableFuture::join);
    }
}
