package org.marigoldturn.rights;

import java.util.List;
import org.marigoldturn.hashing.RendezvousHash;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * Computes the division of host slots among daemons at the start of an epoch, by rendezvous
 * hashing: all daemons compute the same division without exchanging it.
 */
public final class HostSlots {
    private static final int SLOT_BITS = 20;

    private HostSlots() {}

    /**
     * Returns the epoch of the holdings of a host. It includes the number of slots, because a
     * change of that number changes the basis, and transfer totals are valid for one basis only.
     */
    static long epoch(long divisionEpoch, int slots) {
        return (divisionEpoch << SLOT_BITS) | slots;
    }

    /** Returns how many slots of the host belong to the daemon at the start of the epoch. */
    static int basis(String host, int slots, String daemon, List<String> daemons) {
        int owned = 0;
        for (int slot = 0; slot < slots; slot++) {
            String owner = RendezvousHash.owner(host + '/' + slot, daemons).orElse("");
            if (owner.equals(daemon)) {
                owned++;
            }
        }
        return owned;
    }

    /** Returns whether requests may start on the host under these settings. */
    public static boolean inService(FleetSettings settings, HostSettings host) {
        ZoneSettings zone = settings.zones().get(host.zone());
        boolean zoneInService = zone == null || zone.state() != ZoneState.OUT_OF_SERVICE;
        return zoneInService && host.state().acceptsWork();
    }
}
