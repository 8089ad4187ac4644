package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.List;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.SettingsEdits;
import org.marigoldturn.settings.ZoneSettings;

/**
 * Settings to which several planners apply their edits, so that each planner sees what the ones
 * before it decided and all edits are committed together. Not thread safe.
 */
public final class EditedSettings {
    private final FleetSettings mBase;
    private FleetSettings mCurrent;
    private boolean mEdited;

    /** Creates a copy of the settings without edits. */
    public EditedSettings(FleetSettings base) {
        mBase = base;
        mCurrent = base;
    }

    /**
     * Applies edits of zones, hosts and the policy.
     *
     * @throws IllegalArgumentException for an edit that no planner makes
     */
    public void apply(List<SettingsEdit> edits) {
        if (edits.isEmpty()) {
            // Copying and checking the settings of 1,700 hosts would take most of the time of a
            // step without edits.
            return;
        }
        edits.forEach(EditedSettings::requirePlannerEdit);
        mEdited = true;
        mCurrent = SettingsEdits.apply(mCurrent, edits).get();
    }

    /** Returns the settings with all edits so far. */
    public FleetSettings current() {
        return mCurrent;
    }

    /** Returns the smallest list of edits from the base to the current settings. */
    public List<SettingsEdit> edits() {
        if (!mEdited) {
            return List.of();
        }
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
        if (!mCurrent.policy().equals(mBase.policy())) {
            edits.add(new SettingsEdit.PutPolicy(mCurrent.policy()));
        }
        return edits;
    }

    private static void requirePlannerEdit(SettingsEdit edit) {
        boolean allowed =
                edit instanceof SettingsEdit.PutZone
                        || edit instanceof SettingsEdit.PutHost
                        || edit instanceof SettingsEdit.PutPolicy;
        if (!allowed) {
            throw new IllegalArgumentException(
                    "path \""
                            + edit.path()
                            + "\" cannot be edited by a planner; only zones, hosts and the policy"
                            + " can");
        }
    }
}
