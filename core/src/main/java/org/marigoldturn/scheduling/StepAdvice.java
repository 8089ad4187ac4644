package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the policy service has said about one step.
 *
 * <p>Which targets may run a step does not change; a ticket ends after a time. Knowledge belongs to
 * one life of a target. Confined to the control thread.
 */
final class StepAdvice {
    /** A ticket must hold until the order has arrived. */
    private static final long ARRIVAL_MILLIS = 500;

    private final Map<TargetState, Ticket> mAllowed = new HashMap<>();
    private final Map<TargetState, Boolean> mForbidden = new HashMap<>();

    private record Ticket(String text, long validUntilMillis) {}

    /** Returns the ticket for a target that holds for some time yet; empty if there is none. */
    String ticket(TargetState target, long nowMillis) {
        Ticket ticket = mAllowed.get(target);
        boolean holds = ticket != null && nowMillis + ARRIVAL_MILLIS < ticket.validUntilMillis();
        return holds ? ticket.text() : "";
    }

    /** Returns whether the service has to be asked before the target is used. */
    boolean isOpen(TargetState target, long nowMillis) {
        return !mForbidden.containsKey(target) && ticket(target, nowMillis).isEmpty();
    }

    /** Records an answer: tickets by the id of a target; a target without one is forbidden. */
    void record(List<TargetState> asked, Map<String, String> tickets, long validUntilMillis) {
        for (TargetState target : asked) {
            String ticket = tickets.get(target.entry().id());
            if (ticket == null) {
                mForbidden.put(target, true);
            } else {
                mAllowed.put(target, new Ticket(ticket, validUntilMillis));
            }
        }
    }

    /** Drops a ticket that a target did not take. */
    void reject(TargetState target) {
        mAllowed.remove(target);
    }
}
