package org.marigoldturn.rights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.marigoldturn.peer.wire.FreezeReply;
import org.marigoldturn.peer.wire.FreezeRequest;
import org.marigoldturn.peer.wire.RightsTotal;
import org.marigoldturn.peer.wire.RightsTotals;
import org.marigoldturn.peer.wire.TransferHint;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.SlotDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/**
 * All rights that one daemon holds.
 *
 * <p>Invariants: the holdings of all daemons of one resource and epoch add up to at most its minted
 * rights; a request starts only within the allowance that follows from the holding. The methods of
 * {@link RightsHolder} are lock-free and may be called by any thread; all others belong to the
 * control thread.
 */
public final class RightsLedger implements RightsHolder {
    /**
     * Time for which rights in use stay promised to the taker of a hint. Twice the interval of the
     * coordinator, which repeats a hint while it is still wanted.
     */
    public static final long RESERVATION_MILLIS = 2000;

    /** Acknowledgements are sent once a second, so a total is late after more than two. */
    public static final long RESEND_MILLIS = 2500;

    private static final String POOL_PREFIX = Resources.pool("");

    private final String mSelf;
    private final Map<String, Holding> mHoldings = new ConcurrentHashMap<>();

    /** Holdings of the hosts that may start work, by pool resource. */
    private Map<String, List<Holding>> mPools = Map.of();

    /** Totals of epochs that this daemon does not know yet, by sender and resource. */
    private final Map<String, Map<String, RightsTotal>> mEarlyTotals = new HashMap<>();

    /** Resources that are frozen at the version held; any later version resumes transfers. */
    private final Set<String> mFrozen = new HashSet<>();

    /** Totals accepted since the last acknowledgements, by sender and resource. */
    private final Map<String, Map<String, RightsTotal>> mAccepted = new TreeMap<>();

    /** Resources with totals that were not acknowledged, with the time of the last sending. */
    private final Map<String, Long> mUnacknowledged = new TreeMap<>();

    private final Set<String> mReserved = new TreeSet<>();
    private long mVersion = -1;
    private boolean mClosed;

    /** Creates a ledger without rights for the daemon with the given member id. */
    public RightsLedger(String self) {
        mSelf = self;
    }

    @Override
    public boolean tryAcquire(String resource) {
        Holding holding = mHoldings.get(resource);
        return holding != null && holding.permits().tryAcquire();
    }

    @Override
    public void release(String resource) {
        Holding holding = mHoldings.get(resource);
        if (holding == null) {
            throw new IllegalStateException("no right of " + resource + " is in use");
        }
        holding.permits().release(resource);
    }

    @Override
    public int free(String resource) {
        Holding holding = mHoldings.get(resource);
        return holding == null ? 0 : holding.permits().free();
    }

    /** Returns the running requests that use a right of the resource. */
    public int running(String resource) {
        return total(resource, Holding::running);
    }

    /** Returns the rights of a team, or of the usable hosts of a pool, that this daemon holds. */
    public int held(String resource) {
        return total(resource, holding -> (int) Math.max(0, holding.held()));
    }

    /** Returns how many requests may run on the rights of the resource at its present limit. */
    public int allowance(String resource) {
        return total(resource, Holding::allowance);
    }

    /** Returns the rights of a team or pool that this daemon could transfer now. */
    public int givable(String resource) {
        return total(resource, Holding::givable);
    }

    /** Takes over a version; versions not later than the one held are ignored. */
    public void adopt(VersionedState state) {
        if (state.version() <= mVersion) {
            return;
        }
        mVersion = state.version();
        mFrozen.clear();
        Set<String> known = new HashSet<>();
        state.rights().teams().forEach((team, division) -> adoptTeam(state, team, division, known));
        for (HostSettings host : state.settings().hosts().values()) {
            adoptHost(state, host, known);
        }
        retire(known);
        indexPools(state.settings());
        acceptEarlyTotals();
    }

    /**
     * Gives free rights to the taker of a hint, and promises it further ones of those in use, which
     * {@link #serveReservations} gives when their requests have ended.
     */
    public List<AddressedTotals> onHint(TransferHint hint, long nowMillis) {
        if (hint.getTaker().equals(mSelf) || hint.getCount() <= 0) {
            return List.of();
        }
        List<Holding> candidates = transferable(hint.getResource());
        candidates.forEach(holding -> holding.cancelReservation(hint.getTaker()));
        TotalsOutbox outbox = new TotalsOutbox(mUnacknowledged, nowMillis);
        EvenTransfer transfer = new EvenTransfer(candidates, outbox);
        int rest = transfer.give(hint.getTaker(), hint.getCount());
        transfer.reserve(hint.getTaker(), rest, nowMillis + RESERVATION_MILLIS)
                .forEach(holding -> mReserved.add(holding.resource()));
        return outbox.messages();
    }

    /** Returns whether rights are promised that were not free yet. */
    public boolean hasReservations() {
        return !mReserved.isEmpty();
    }

    /** Gives promised rights that have become free. To be called every few tens of milliseconds. */
    public List<AddressedTotals> serveReservations(long nowMillis) {
        TotalsOutbox outbox = new TotalsOutbox(mUnacknowledged, nowMillis);
        for (String resource : List.copyOf(mReserved)) {
            Holding holding = mHoldings.get(resource);
            if (holding != null && !mFrozen.contains(resource)) {
                for (String taker : holding.serveReservations(nowMillis)) {
                    outbox.add(holding, taker);
                }
            }
            if (holding == null || !holding.hasReservations()) {
                mReserved.remove(resource);
            }
        }
        return outbox.messages();
    }

    /** Withdraws the promises to the takers that have ended. */
    public void cancelReservations(Predicate<String> ended) {
        for (String resource : mReserved) {
            Holding holding = mHoldings.get(resource);
            if (holding != null) {
                holding.cancelReservations(ended);
            }
        }
    }

    /** Takes over the totals of a sender. */
    public void onTotals(String sender, RightsTotals totals) {
        totals.getTotalsList().forEach(total -> acceptTotal(sender, total));
    }

    /**
     * Returns the acknowledgements of totals accepted since the last call, by sender. To be sent
     * once a second: one acknowledgement covers all totals of a resource until then.
     */
    public List<AddressedTotals> acknowledgements() {
        List<AddressedTotals> messages = new ArrayList<>();
        mAccepted.forEach(
                (sender, totals) ->
                        messages.add(
                                new AddressedTotals(
                                        sender,
                                        RightsTotals.newBuilder()
                                                .addAllTotals(totals.values())
                                                .build())));
        mAccepted.clear();
        return messages;
    }

    /** Records that the receiver has taken over totals. */
    public void onAck(String receiver, RightsTotals accepted) {
        for (RightsTotal total : accepted.getTotalsList()) {
            Holding holding = mHoldings.get(total.getResource());
            if (holding != null && holding.epoch() == total.getEpoch()) {
                holding.acknowledge(receiver, total.getTotal());
                if (holding.unacknowledgedTakers().isEmpty()) {
                    mUnacknowledged.remove(total.getResource());
                }
            }
        }
    }

    /** Returns totals that are due to be sent again; to be called once a second. */
    public List<AddressedTotals> unacknowledged(long nowMillis) {
        TotalsOutbox outbox = new TotalsOutbox(mUnacknowledged, nowMillis);
        for (Map.Entry<String, Long> entry : List.copyOf(mUnacknowledged.entrySet())) {
            Holding holding = mHoldings.get(entry.getKey());
            if (holding == null || holding.unacknowledgedTakers().isEmpty()) {
                mUnacknowledged.remove(entry.getKey());
            } else if (!mFrozen.contains(entry.getKey())
                    && nowMillis - entry.getValue() >= RESEND_MILLIS) {
                holding.unacknowledgedTakers().forEach(taker -> outbox.add(holding, taker));
            }
        }
        return outbox.messages();
    }

    /** Stops transfers of the resources until a later version, and reports what was transferred. */
    public FreezeReply onFreeze(FreezeRequest request) {
        FreezeReply.Builder reply =
                FreezeReply.newBuilder().setBaseVersion(request.getBaseVersion());
        if (request.getBaseVersion() != mVersion) {
            return reply.build();
        }
        for (String resource : request.getResourcesList()) {
            Holding holding = mHoldings.get(resource);
            if (holding != null) {
                mFrozen.add(resource);
                reply.addResources(holding.freezeRecord());
            }
        }
        return reply.setFrozen(true).build();
    }

    /** Stops all starts for good; used before the final shutdown message. */
    public void close() {
        mClosed = true;
        mHoldings.values().forEach(Holding::close);
    }

    /** Gives all free rights to the takers, spread over them by resource and count. */
    public List<AddressedTotals> giveAll(Collection<String> takers, long nowMillis) {
        List<String> others = takers.stream().filter(t -> !t.equals(mSelf)).sorted().toList();
        TotalsOutbox outbox = new TotalsOutbox(mUnacknowledged, nowMillis);
        for (Holding holding : mHoldings.values()) {
            if (!others.isEmpty() && !mFrozen.contains(holding.resource())) {
                EvenTransfer.giveAll(holding, others, outbox);
            }
        }
        return outbox.messages();
    }

    /**
     * Returns whether nothing runs and all rights have been taken over by others.
     *
     * @param ended daemons that have certainly ended; their acknowledgement is not waited for
     */
    public boolean handedOver(Collection<String> ended) {
        return mHoldings.values().stream()
                .allMatch(
                        holding ->
                                holding.running() == 0
                                        && holding.held() <= 0
                                        && ended.containsAll(holding.unacknowledgedTakers()));
    }

    private void adoptTeam(
            VersionedState state, String team, ResourceDivision division, Set<String> known) {
        TeamSettings settings = state.settings().teams().get(team);
        if (settings == null) {
            return;
        }
        int basis = division.basis().getOrDefault(mSelf, 0);
        String resource = Resources.team(team);
        known.add(resource);
        Holding holding = enterEpoch(resource, division.epoch());
        holding.configure(basis, division.minted(), settings.runningLimit());
    }

    private void adoptHost(VersionedState state, HostSettings host, Set<String> known) {
        String resource = Resources.host(host.name());
        known.add(resource);
        SlotDivision slots = state.rights().slots();
        long epoch = HostSlots.epoch(slots.epoch(host.name()), host.slots());
        Holding existing = mHoldings.get(resource);
        if (existing == null || existing.epoch() != epoch) {
            List<String> daemons = slots.daemons(host.name());
            int basis = HostSlots.basis(host.name(), host.slots(), mSelf, daemons);
            enterEpoch(resource, epoch).configure(basis, host.slots(), host.slots());
        }
    }

    private Holding enterEpoch(String resource, long epoch) {
        Holding holding = mHoldings.computeIfAbsent(resource, Holding::new);
        if (holding.epoch() != epoch) {
            holding.startEpoch(epoch);
        }
        if (mClosed) {
            holding.close();
        }
        return holding;
    }

    /** Keeps a deleted resource, without rights, until the last of its running requests ends. */
    private void retire(Set<String> known) {
        for (Holding holding : List.copyOf(mHoldings.values())) {
            if (!known.contains(holding.resource())) {
                holding.startEpoch(-1);
                holding.configure(0, 0, 0);
                if (holding.running() == 0) {
                    mHoldings.remove(holding.resource());
                }
            }
        }
    }

    private void indexPools(FleetSettings settings) {
        Map<String, List<Holding>> pools = new TreeMap<>();
        for (HostSettings host : settings.hosts().values()) {
            if (HostSlots.inService(settings, host)) {
                Holding holding = mHoldings.get(Resources.host(host.name()));
                String pool = Resources.pool(host.pool());
                pools.computeIfAbsent(pool, name -> new ArrayList<>()).add(holding);
            }
        }
        mPools = pools;
    }

    private void acceptEarlyTotals() {
        Map<String, Map<String, RightsTotal>> early = new TreeMap<>(mEarlyTotals);
        mEarlyTotals.clear();
        early.forEach(
                (sender, totals) -> totals.values().forEach(total -> acceptTotal(sender, total)));
    }

    private void acceptTotal(String sender, RightsTotal total) {
        Holding holding = mHoldings.get(total.getResource());
        if (holding == null || holding.epoch() < total.getEpoch()) {
            mEarlyTotals
                    .computeIfAbsent(sender, name -> new HashMap<>())
                    .merge(total.getResource(), total, RightsLedger::later);
        } else if (holding.epoch() == total.getEpoch() && !mFrozen.contains(total.getResource())) {
            holding.receive(sender, total.getTotal());
            mAccepted
                    .computeIfAbsent(sender, name -> new TreeMap<>())
                    .merge(total.getResource(), total, RightsLedger::later);
        }
    }

    private static RightsTotal later(RightsTotal a, RightsTotal b) {
        Comparator<RightsTotal> order =
                Comparator.comparingLong(RightsTotal::getEpoch)
                        .thenComparingLong(RightsTotal::getTotal);
        return order.compare(a, b) >= 0 ? a : b;
    }

    private List<Holding> transferable(String resource) {
        return named(resource).stream().filter(h -> !mFrozen.contains(h.resource())).toList();
    }

    private List<Holding> named(String resource) {
        if (resource.startsWith(POOL_PREFIX)) {
            return mPools.getOrDefault(resource, List.of());
        }
        Holding holding = mHoldings.get(resource);
        return holding == null ? List.of() : List.of(holding);
    }

    private int total(String resource, ToIntFunction<Holding> amount) {
        return named(resource).stream().mapToInt(amount).sum();
    }
}
