package org.marigoldturn.admission;

import org.marigoldturn.settings.HostSettings;

/**
 * Resources that one request needs on its host; 0 means that no need is declared. Immutable.
 *
 * @param memoryMegabytes memory in MiB
 */
public record ResourceNeeds(int cores, long memoryMegabytes, int accelerators) {
    /** A request that declares no needs; it fits every host. */
    public static final ResourceNeeds NONE = new ResourceNeeds(0, 0, 0);

    public ResourceNeeds {
        if (cores < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException(
                    "needs must not be negative: cores=%d, memory-mb=%d, accelerators=%d"
                            .formatted(cores, memoryMegabytes, accelerators));
        }
    }

    /** Returns whether the host has these resources in total, regardless of what is in use. */
    public boolean fits(HostSettings host) {
        return cores <= host.cores()
                && memoryMegabytes <= host.memoryMegabytes()
                && accelerators <= host.accelerators();
    }
}
