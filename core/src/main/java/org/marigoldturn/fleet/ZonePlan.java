package org.marigoldturn.fleet;

import java.util.List;
import java.util.Map;
import org.marigoldturn.settings.SettingsEdit;

/**
 * Plan to take a zone out of service or to restore it.
 *
 * @param edits edits to commit, empty if the plan is refused or changes nothing
 * @param refused whether a budget forbids the plan
 * @param shortfalls budgets that are exceeded after the plan; for a drain, only those whose absent
 *     slots it increases
 * @param touched budgets of services with hosts in the zone, as they would be after the plan
 * @param presentSlots present slots of each pool with hosts in the zone, as they would be after the
 *     plan
 */
public record ZonePlan(
        String zone,
        List<SettingsEdit> edits,
        boolean refused,
        List<BudgetStatus> shortfalls,
        List<BudgetStatus> touched,
        Map<String, Integer> presentSlots) {
    public ZonePlan {
        edits = List.copyOf(edits);
        shortfalls = List.copyOf(shortfalls);
        touched = List.copyOf(touched);
        presentSlots = Map.copyOf(presentSlots);
    }
}
