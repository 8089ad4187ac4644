package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;

/**
 * Settings with the edits of several planners, so that each planner sees what the ones before it
 * decided and all edits are committed together. Not thread safe.
 */
public final class EditedSettings {
    private final FleetSettings mBase;
    private final Map<String, ZoneSettings> mZones;
    private final Map<String, HostSettings> mHosts;
    private FleetPolicy mPolicy;
    private FleetSettings mCurrent;

    /** Creates a copy of the settings without edits. */
    public EditedSettings(FleetSettings base) {
        mBase = base;
        mZones = new HashMap<>(base.zones());
        mHosts = new HashMap<>(base.hosts());
        mPolicy = base.policy();
        mCurrent = base;
    }

    /**
     * Applies edits of zones, hosts and the policy.
     *
     * @throws IllegalArgumentException for an edit that no planner makes
     */
    public void apply(List<SettingsEdit> edits) {
        if (edits.isEmpty()) {
            return;
        }
        edits.forEach(this::applyOne);
        mCurrent =
                new FleetSettings(
                        mZones, mBase.pools(), mBase.services(), mBase.teams(), mHosts, mPolicy);
    }

    /** Returns the settings with all edits so far. */
    public FleetSettings current() {
        return mCurrent;
    }

    /** Returns the smallest list of edits from the base to the current settings. */
    public List<SettingsEdit> edits() {
        List<SettingsEdit> edits = new ArrayList<>();
        for (ZoneSettings zone : mCurrent.zones().values()) {
            if (!zone.equals(mBase.zones().get(zone.name()))) {
                edits.add(new SettingsEdit.PutZone(zone));
            }
        }
        for (HostSettings host : mCurrent.hosts().values()) {
            if (!host.equals(mBase.hosts().get(host.name()))) {
                edits.add(new SettingsEdit.PutHost(host));
            }
        }
        if (!mPolicy.equals(mBase.policy())) {
            edits.add(new SettingsEdit.PutPolicy(mPolicy));
        }
        return edits;
    }

    private void applyOne(SettingsEdit edit) {
        if (edit instanceof SettingsEdit.PutZone put) {
            mZones.put(put.zone().name(), put.zone());
        } else if (edit instanceof SettingsEdit.PutHost put) {
            mHosts.put(put.host().name(), put.host());
        } else if (edit instanceof SettingsEdit.PutPolicy put) {
            mPolicy = put.policy();
        } else {
            throw new IllegalArgumentException("no planner edits path \"" + edit.path() + "\"");
        }
    }
}
