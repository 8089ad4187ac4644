package org.marigoldturn.coordination;

import java.util.function.LongSupplier;

/**
 * The clocks of a daemon.
 *
 * @param monotonicMillis monotonic clock of this process
 * @param epochMillis wall-clock time, in milliseconds since 1970
 */
public record Clocks(LongSupplier monotonicMillis, LongSupplier epochMillis) {
    /** Returns the clocks of the system. */
    public static Clocks system() {
        return new Clocks(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
    }

    /** Returns the present time of the monotonic clock. */
    public long now() {
        return monotonicMillis.getAsLong();
    }

    /** Returns the present wall-clock time. */
    public long epoch() {
        return epochMillis.getAsLong();
    }
}
