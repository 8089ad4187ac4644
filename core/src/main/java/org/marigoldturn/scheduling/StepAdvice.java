package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what the policy service has decided about one step.
 *
 * <p>Which targets may run a step does not change, but a ticket expires. A decision applies to one
 * incarnation of a target. Confined to the control thread.
 */
final class StepAdvice {
    /**
     * Minimum remaining validity of a usable ticket, since it must still be valid when the start
     * order arrives at the target.
     */
    private static final long ORDER_ARRIVAL_MILLIS = 500;

    private final Map<TargetState, Ticket> mAllowed = new HashMap<>();
    private final Map<TargetState, Boolean> mForbidden = new HashMap<>();

    private record Ticket(String text, long validUntilMillis) {}

    /**
     * Returns the ticket for a target, or an empty string if there is none that is valid long
     * enough.
     */
    String ticket(TargetState target, long nowMillis) {
        Ticket ticket = mAllowed.get(target);
        boolean valid =
                ticket != null && nowMillis + ORDER_ARRIVAL_MILLIS < ticket.validUntilMillis();
        return valid ? ticket.text() : "";
    }

    /** Returns whether there is a ticket for a target that is valid long enough. */
    boolean hasTicket(TargetState target, long nowMillis) {
        return !ticket(target, nowMillis).isEmpty();
    }

    /** Returns whether the policy service must be asked before the target can run the step. */
    boolean mustAsk(TargetState target, long nowMillis) {
        return !mForbidden.containsKey(target) && ticket(target, nowMillis).isEmpty();
    }

    /** Records a response: tickets by the id of the target; a target without one is forbidden. */
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

    /** Discards the ticket for a target after the target rejected it. */
    void reject(TargetState target) {
        mAllowed.remove(target);
    }
}
