package org.marigoldturn.settings;

import java.util.Map;

/** Allowed values of the numeric settings fields, by section and field name. */
final class FieldRanges {
    /**
     * Allowed values of one field.
     *
     * @param min smallest value
     * @param max largest value
     */
    record Range(long min, long max) {
        boolean contains(long value) {
            return value >= min && value <= max;
        }
    }

    private static final long MAX_DEADLINE_MILLIS = 86_400_000;

    /** Ten years; a larger interval is probably in a wrong unit. */
    private static final long MAX_INTERVAL_MILLIS = 315_360_000_000L;

    /**
     * Allowed range by field. The maxima reject values in a wrong unit: such a deadline or body
     * size must not occupy a slot or memory for days.
     */
    private static final Map<String, Range> RANGES =
            Map.ofEntries(
                    Map.entry("services/maxUnavailablePercent", new Range(0, 100)),
                    Map.entry("services/queueCapacity", new Range(1, 1_000_000)),
                    Map.entry("services/defaultDeadlineMillis", new Range(1, MAX_DEADLINE_MILLIS)),
                    Map.entry("services/maxBodyBytes", new Range(1, 1L << 30)),
                    Map.entry("services/notRunStatuses", new Range(400, 599)),
                    Map.entry(
                            "policy/maintenanceIntervalMillis", new Range(2, MAX_INTERVAL_MILLIS)),
                    Map.entry("policy/maintenanceLeadMillis", new Range(1, MAX_INTERVAL_MILLIS)),
                    Map.entry("policy/returnWithinMillis", new Range(1, MAX_INTERVAL_MILLIS)),
                    Map.entry("policy/loanAfterMillis", new Range(1, MAX_INTERVAL_MILLIS)),
                    Map.entry("teams/shareWeight", new Range(1, 1_000_000)),
                    Map.entry("teams/runningLimit", new Range(0, 1_000_000)),
                    Map.entry("hosts/port", new Range(1, 65_535)),
                    Map.entry("hosts/slots", new Range(1, 100_000)),
                    Map.entry("hosts/connections", new Range(1, 100_000)),
                    Map.entry("hosts/cores", new Range(0, 100_000)),
                    Map.entry("hosts/memoryMegabytes", new Range(0, 1L << 40)),
                    Map.entry("hosts/accelerators", new Range(0, 100_000)));

    /** Range of wall-clock times, from 1970 on, and of all fields without an entry in the table. */
    private static final Range NOT_NEGATIVE = new Range(0, Long.MAX_VALUE);

    private FieldRanges() {}

    static Range of(String section, String field) {
        return RANGES.getOrDefault(section + "/" + field, NOT_NEGATIVE);
    }
}
