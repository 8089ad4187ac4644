package org.marigoldturn.fleet;

/**
 * Availability budget of one service.
 *
 * @param totalSlots slots of the service's pool
 * @param allowedSlots slots that may be absent, rounded down
 * @param absentSlots slots that are absent, planned and unplanned together
 */
public record BudgetStatus(
        String service, String pool, int totalSlots, int allowedSlots, int absentSlots) {
    /** Returns by how many slots the budget is exceeded, 0 if it is met. */
    public int shortfallSlots() {
        return Math.max(0, absentSlots - allowedSlots);
    }

    /** Returns whether the budget is met. */
    public boolean met() {
        return absentSlots <= allowedSlots;
    }
}
