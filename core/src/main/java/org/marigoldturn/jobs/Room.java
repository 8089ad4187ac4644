package org.marigoldturn.jobs;

/**
 * An amount of a host's resources. Immutable.
 *
 * @param cpuMillicores processors in thousandths of a core
 * @param memoryMegabytes memory
 * @param accelerators accelerators
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

    /** Returns the difference, whose parts may be negative. */
    public Room minus(Room other) {
        return plus(other.times(-1));
    }

    /** Returns this amount {@code factor} times. */
    public Room times(long factor) {
        return new Room(cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /** Returns whether every part is at most that of {@code available}. */
    public boolean fitsInto(Room available) {
        return cpuMillicores <= available.cpuMillicores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /** Returns this amount with no processors, as tasks that use only spare capacity count. */
    public Room withoutCpu() {
        return new Room(0, memoryMegabytes, accelerators);
    }
}
