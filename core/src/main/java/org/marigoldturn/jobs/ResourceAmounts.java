package org.marigoldturn.jobs;

/**
 * An amount of a host's resources. Immutable.
 *
 * @param cpuMillicores processors in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators number of accelerators
 */
public record ResourceAmounts(long cpuMillicores, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

    /** Returns the sum of both amounts. */
    public ResourceAmounts plus(ResourceAmounts other) {
        return new ResourceAmounts(
                cpuMillicores + other.cpuMillicores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference, whose components may be negative. */
    public ResourceAmounts minus(ResourceAmounts other) {
        return plus(other.times(-1));
    }

    /** Returns this amount multiplied by {@code factor}. */
    public ResourceAmounts times(long factor) {
        return new ResourceAmounts(
                cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /** Returns whether no component exceeds that of {@code available}. */
    public boolean fitsInto(ResourceAmounts available) {
        return cpuMillicores <= available.cpuMillicores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /** Returns this amount without CPU, as reserved for tasks that use only spare CPU. */
    public ResourceAmounts withoutCpu() {
        return new ResourceAmounts(0, memoryMegabytes, accelerators);
    }
}
