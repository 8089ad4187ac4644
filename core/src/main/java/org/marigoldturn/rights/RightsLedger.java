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
 * Records all rights that one daemon holds, and transfers rights to other daemons.
 *
 * <p>Transfers are sent as totals: for each resource and recipient, the number of rights
 * transferred since the start of the epoch. Totals may therefore be lost, repeated and reordered.
 *
 * <p>Invariants: for one resource and epoch, the holdings of all daemons add up to at most the
 * minted rights; a request starts only within the allowance that follows from the holding. The
 * methods of {@link RightsHolder} are lock-free and may be called by any thread; all others only by
 * the control thread.
 */
public final class RightsLedger implements RightsHolder {
    /**
     * Time for which rights in use stay reserved for the recipient of a hint. Equals the time
     * without progress after which a coordinator repeats a hint, {@code PENDING_MILLIS} in shares.
     */
    public static final long RESERVATION_MILLIS = 2000;

    /**
     * Time after which an unacknowledged total is sent again. Acknowledgements are sent once a
     * second, so one that takes more than two seconds is overdue.
     */
    public static final long RESEND_MILLIS = 2500;

    private static final String POOL_PREFIX = ResourceNames.pool("");

    private final String mSelf;
    private final Map<String, Holding> mHoldings = new ConcurrentHashMap<>();

    /** Holdings of the hosts on which requests may start, by pool resource. */
    private Map<String, List<Holding>> mPools = Map.of();

    /** Received totals of epochs that this daemon has not adopted yet, by sender and resource. */
    private final Map<String, Map<String, RightsTotal>> mEarlyTotals = new HashMap<>();

    /** Resources whose transfers are stopped until a later version is adopted. */
    private final Set<String> mFrozen = new HashSet<>();

    /** Totals accepted but not acknowledged yet, by sender and resource. */
    private final Map<String, Map<String, RightsTotal>> mAccepted = new TreeMap<>();

    /** Time of the last sending of each resource with totals that are not acknowledged. */
    private final Map<String, Long> mLastSentAtMillis = new TreeMap<>();

    /** Resources with reservations. */
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
            throw new IllegalStateException(
                    "cannot release a right of " + resource + ": this daemon has no such resource");
        }
        holding.permits().release(resource);
    }

    @Override
    public int free(String resource) {
        Holding holding = mHoldings.get(resource);
        return holding == null ? 0 : holding.permits().free();
    }

    /** Returns the number of running requests that use a right of the resource. */
    public int running(String resource) {
        return total(resource, Holding::running);
    }

    /** Returns the number of rights held of a team, or of the in-service hosts of a pool. */
    public int held(String resource) {
        return total(resource, holding -> (int) Math.max(0, holding.held()));
    }

    /** Returns how many requests may run on the rights held at the present limit. */
    public int allowance(String resource) {
        return total(resource, Holding::allowance);
    }

    /** Returns the number of rights of a team or pool that this daemon could transfer now. */
    public int transferable(String resource) {
        return total(resource, Holding::transferable);
    }

    /** Adopts a state and ends all freezes; ignores a state not later than the adopted one. */
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
     * Transfers free rights to the recipient of a hint, and reserves the missing number of those in
     * use, which {@link #transferReserved} transfers when their requests have ended. Replaces
     * earlier reservations for the recipient.
     */
    public List<AddressedTotals> onHint(TransferHint hint, long nowMillis) {
        if (hint.getTaker().equals(mSelf) || hint.getCount() <= 0) {
            return List.of();
        }
        List<Holding> candidates = unfrozenHoldings(hint.getResource());
        candidates.forEach(holding -> holding.cancelReservation(hint.getTaker()));
        TotalsOutbox outbox = new TotalsOutbox(mLastSentAtMillis, nowMillis);
        EvenTransfer transfer = new EvenTransfer(candidates, outbox);
        int missing = transfer.transfer(hint.getTaker(), hint.getCount());
        transfer.reserve(hint.getTaker(), missing, nowMillis + RESERVATION_MILLIS)
                .forEach(holding -> mReserved.add(holding.resource()));
        return outbox.messages();
    }

    /** Returns whether there are reserved rights that have not been transferred yet. */
    public boolean hasReservations() {
        return !mReserved.isEmpty();
    }

    /** Transfers reserved rights that are free now; to be called every few tens of milliseconds. */
    public List<AddressedTotals> transferReserved(long nowMillis) {
        TotalsOutbox outbox = new TotalsOutbox(mLastSentAtMillis, nowMillis);
        for (String resource : List.copyOf(mReserved)) {
            Holding holding = mHoldings.get(resource);
            if (holding != null && !mFrozen.contains(resource)) {
                for (String recipient : holding.transferReserved(nowMillis)) {
                    outbox.add(holding, recipient);
                }
            }
            if (holding == null || !holding.hasReservations()) {
                mReserved.remove(resource);
            }
        }
        return outbox.messages();
    }

    /** Cancels the reservations for recipients that have ended. */
    public void cancelReservations(Predicate<String> ended) {
        for (String resource : mReserved) {
            Holding holding = mHoldings.get(resource);
            if (holding != null) {
                holding.cancelReservations(ended);
            }
        }
    }

    /** Applies the totals of a sender. */
    public void onTotals(String sender, RightsTotals totals) {
        totals.getTotalsList().forEach(total -> acceptTotal(sender, total));
    }

    /**
     * Returns the acknowledgements of totals accepted since the last call, one for each sender. To
     * be sent once a second: acknowledging the latest total of a resource covers all earlier ones.
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

    /** Records that the recipient of transferred rights has applied totals. */
    public void onAck(String recipient, RightsTotals accepted) {
        for (RightsTotal total : accepted.getTotalsList()) {
            Holding holding = mHoldings.get(total.getResource());
            if (holding != null && holding.epoch() == total.getEpoch()) {
                holding.acknowledge(recipient, total.getTotal());
                if (holding.unacknowledgedRecipients().isEmpty()) {
                    mLastSentAtMillis.remove(total.getResource());
                }
            }
        }
    }

    /** Returns totals that are due to be sent again; to be called once a second. */
    public List<AddressedTotals> totalsToResend(long nowMillis) {
        TotalsOutbox outbox = new TotalsOutbox(mLastSentAtMillis, nowMillis);
        for (Map.Entry<String, Long> entry : List.copyOf(mLastSentAtMillis.entrySet())) {
            Holding holding = mHoldings.get(entry.getKey());
            if (holding == null || holding.unacknowledgedRecipients().isEmpty()) {
                mLastSentAtMillis.remove(entry.getKey());
            } else if (!mFrozen.contains(entry.getKey())
                    && nowMillis - entry.getValue() >= RESEND_MILLIS) {
                holding.unacknowledgedRecipients().forEach(id -> outbox.add(holding, id));
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

    /** Permanently stops all starts of requests; used before the final shutdown message. */
    public void close() {
        mClosed = true;
        mHoldings.values().forEach(Holding::close);
    }

    /** Transfers all free rights to the other daemons, those of each resource in equal parts. */
    public List<AddressedTotals> transferAll(Collection<String> recipients, long nowMillis) {
        List<String> others = recipients.stream().filter(t -> !t.equals(mSelf)).sorted().toList();
        TotalsOutbox outbox = new TotalsOutbox(mLastSentAtMillis, nowMillis);
        for (Holding holding : mHoldings.values()) {
            if (!others.isEmpty() && !mFrozen.contains(holding.resource())) {
                EvenTransfer.transferAll(holding, others, outbox);
            }
        }
        return outbox.messages();
    }

    /**
     * Returns whether no request runs and other daemons have acknowledged all rights.
     *
     * @param ended daemons that have certainly ended; their acknowledgements are not needed
     */
    public boolean isHandedOver(Collection<String> ended) {
        return mHoldings.values().stream()
                .allMatch(
                        holding ->
                                holding.running() == 0
                                        && holding.held() <= 0
                                        && ended.containsAll(holding.unacknowledgedRecipients()));
    }

    private void adoptTeam(
            VersionedState state, String team, ResourceDivision division, Set<String> known) {
        TeamSettings settings = state.settings().teams().get(team);
        if (settings == null) {
            return;
        }
        int basis = division.basis().getOrDefault(mSelf, 0);
        String resource = ResourceNames.team(team);
        known.add(resource);
        Holding holding = enterEpoch(resource, division.epoch());
        holding.configure(basis, division.minted(), settings.runningLimit());
    }

    private void adoptHost(VersionedState state, HostSettings host, Set<String> known) {
        String resource = ResourceNames.host(host.name());
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

    /** Takes the rights from holdings of deleted resources; removes those without requests. */
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
                Holding holding = mHoldings.get(ResourceNames.host(host.name()));
                String pool = ResourceNames.pool(host.pool());
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

    private List<Holding> unfrozenHoldings(String resource) {
        return holdingsOf(resource).stream().filter(h -> !mFrozen.contains(h.resource())).toList();
    }

    private List<Holding> holdingsOf(String resource) {
        if (resource.startsWith(POOL_PREFIX)) {
            return mPools.getOrDefault(resource, List.of());
        }
        Holding holding = mHoldings.get(resource);
        return holding == null ? List.of() : List.of(holding);
    }

    private int total(String resource, ToIntFunction<Holding> amount) {
        return holdingsOf(resource).stream().mapToInt(amount).sum();
    }
}
