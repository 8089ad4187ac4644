package org.marigoldturn.jobs;

/**
 * An amount of a host's resources. Immutable.
 *
 * @param cpuMillicores processors in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators number of accelerators
 */
public record Room(long cpuMillicores, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final Room NONE = new Room(0, 0, 0);

    /** Returns the sum of both amounts. */
    public Room plus(Room other) {
        return new Room(
                cpuMillicores + other.cpuMillicores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference, whose components may be negative. */
    public Room minus(Room other) {
        return plus(other.times(-1));
    }

    /** Returns this amount multiplied by {@code factor}. */
    public Room times(long factor) {
        return new Room(cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /** Returns whether no component exceeds that of {@code available}. */
    public boolean fitsInto(Room available) {
        return cpuMillicores <= available.cpuMillicores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /** Returns this amount without CPU, as reserved for tasks that use only spare CPU. */
    public Room withoutCpu() {
        return new Room(0, memoryMegabytes, accelerators);
    }
}
