package org.marigoldturn.daemon;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.marigoldturn.membership.EndEvidence;
import org.marigoldturn.membership.MembershipController;
import org.marigoldturn.peer.PeerHandler;
import org.marigoldturn.peer.PeerListener;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.RightsLedger;

/**
 * Routes the messages of other daemons to the services. Messages that change control state are
 * handled on the control thread; claims are decided on the transport thread, since callers wait for
 * them.
 */
final class PeerRouter implements PeerHandler, PeerListener {
    /** The services that receive messages. */
    record Services(
            MembershipController controller,
            MembershipService membership,
            RightsLedger ledger,
            RightsService rights,
            ShareService shares,
            PeerClaimRegistry claims,
            FleetStatusService status,
            HealthService health,
            Executor control) {}

    private static final CompletableFuture<Envelope.Builder> NO_REPLY =
            CompletableFuture.completedFuture(null);

    private volatile Services mServices;

    /** Sets the services; to be called before the transport starts. */
    void connect(Services services) {
        mServices = services;
    }

    @Override
    public CompletableFuture<Envelope.Builder> onMessage(String sender, Envelope message) {
        Services services = mServices;
        if (message.hasFarewell()) {
            // The controller handles it too; this call also updates the registry of ended daemons.
            services.control()
                    .execute(() -> services.membership().onEnded(sender, EndEvidence.FAREWELL));
        }
        Optional<CompletableFuture<Envelope.Builder>> handled =
                services.controller().handle(sender, message);
        return handled.orElseGet(() -> route(services, sender, message));
    }

    private static CompletableFuture<Envelope.Builder> route(
            Services services, String sender, Envelope message) {
        return switch (message.getBodyCase()) {
            case CLAIM_REQUEST ->
                    CompletableFuture.completedFuture(
                            services.claims().onRequest(sender, message.getClaimRequest()));
            case FREEZE_REQUEST ->
                    CompletableFuture.supplyAsync(
                            () ->
                                    Envelope.newBuilder()
                                            .setFreezeReply(
                                                    services.ledger()
                                                            .onFreeze(message.getFreezeRequest())),
                            services.control());
            case CLAIM_HANDOVER ->
                    CompletableFuture.supplyAsync(
                            () -> {
                                services.claims().onHandover(sender, message.getClaimHandover());
                                return Envelope.newBuilder();
                            },
                            services.control());
            case STATUS_REQUEST ->
                    CompletableFuture.supplyAsync(
                            () -> services.status().reply(message.getStatusRequest()),
                            services.control());
            default -> {
                services.control().execute(() -> deliver(services, sender, message));
                yield NO_REPLY;
            }
        };
    }

    private static void deliver(Services services, String sender, Envelope message) {
        switch (message.getBodyCase()) {
            case RIGHTS_TOTALS -> services.rights().onTotals(sender, message.getRightsTotals());
            case RIGHTS_ACK -> services.rights().onAck(sender, message.getRightsAck());
            case TRANSFER_HINT -> services.rights().onHint(message.getTransferHint());
            case DEMAND_REPORT -> services.shares().onReport(sender, message.getDemandReport());
            case ENTITLEMENTS -> services.shares().onEntitlements(message.getEntitlements());
            case HEALTH_REPORT -> services.health().onReport(sender, message.getHealthReport());
            case CLAIM_RELEASE -> services.claims().onRelease(sender, message.getClaimRelease());
            default ->
                    throw new IllegalArgumentException(
                            "no handler for message " + message.getBodyCase() + " from " + sender);
        }
    }

    @Override
    public long heldVersion() {
        return mServices.controller().heldVersion();
    }

    @Override
    public void onPong(String memberId, long version, long sentNanos) {
        mServices.controller().onPong(memberId, version, sentNanos);
    }

    @Override
    public void onPing(String senderId, long version) {
        mServices.controller().onPing(senderId, version);
    }

    @Override
    public void onConnectionRefused(String memberId) {
        mServices.controller().onConnectionRefused(memberId);
    }

    @Override
    public void onAddressTaken(String memberId, String actualId) {
        Services services = mServices;
        services.control()
                .execute(() -> services.membership().onEnded(memberId, EndEvidence.ADDRESS_TAKEN));
    }
}
