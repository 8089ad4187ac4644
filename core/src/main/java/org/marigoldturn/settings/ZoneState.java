package org.marigoldturn.settings;

/** Service state of an availability zone. */
public enum ZoneState {
    /** Hosts of the zone accept work. */
    IN_SERVICE {
        @Override
        public double weight(long millisInState) {
            return 1.0;
        }
    },
    /** No new work starts in the zone. */
    OUT_OF_SERVICE {
        @Override
        public double weight(long millisInState) {
            return 0.0;
        }
    },
    /** The zone receives a growing share of the work for {@link #RAMP_MILLIS}. */
    RETURNING {
        @Override
        public double weight(long millisInState) {
            double progress = (double) Math.max(0, millisInState) / RAMP_MILLIS;
            return Math.min(1.0, MIN_RAMP_WEIGHT + (1.0 - MIN_RAMP_WEIGHT) * progress);
        }
    };

    /** Time in which the weight of a returning zone rises to 1. */
    public static final long RAMP_MILLIS = 30_000;

    private static final double MIN_RAMP_WEIGHT = 0.1;

    /**
     * Returns the selection weight from 0 to 1 of a host in the zone.
     *
     * @param millisInState time since the zone entered this state
     */
    public abstract double weight(long millisInState);
}
