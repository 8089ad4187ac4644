package org.marigoldturn.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Applies edits to settings without checking the result. Stateless. */
public final class SettingsEdits {
    private SettingsEdits() {}

    /** Returns the edited settings, or an error for each edit that cannot be applied. */
    public static Either<List<SettingsError>, FleetSettings> apply(
            FleetSettings settings, List<SettingsEdit> edits) {
        Draft draft = new Draft(settings);
        edits.forEach(draft::apply);
        return draft.mErrors.isEmpty()
                ? Either.right(draft.build())
                : Either.left(List.copyOf(draft.mErrors));
    }

    /** Mutable copy of settings. Confined to one thread. */
    private static final class Draft {
        private final List<SettingsError> mErrors = new ArrayList<>();
        private Map<String, ZoneSettings> mZones;
        private Map<String, PoolSettings> mPools;
        private Map<String, ServiceSettings> mServices;
        private Map<String, TeamSettings> mTeams;
        private Map<String, HostSettings> mHosts;
        private FleetPolicy mPolicy;

        Draft(FleetSettings settings) {
            replace(settings);
        }

        private void replace(FleetSettings settings) {
            mZones = new TreeMap<>(settings.zones());
            mPools = new TreeMap<>(settings.pools());
            mServices = new TreeMap<>(settings.services());
            mTeams = new TreeMap<>(settings.teams());
            mHosts = new TreeMap<>(settings.hosts());
            mPolicy = settings.policy();
        }

        void apply(SettingsEdit edit) {
            if (edit instanceof SettingsEdit.PutZone put) {
                mZones.put(put.zone().name(), put.zone());
            } else if (edit instanceof SettingsEdit.PutPool put) {
                mPools.put(put.pool().name(), put.pool());
            } else if (edit instanceof SettingsEdit.PutService put) {
                mServices.put(put.service().name(), put.service());
            } else if (edit instanceof SettingsEdit.PutTeam put) {
                mTeams.put(put.team().name(), put.team());
            } else if (edit instanceof SettingsEdit.PutHost put) {
                mHosts.put(put.host().name(), put.host());
            } else if (edit instanceof SettingsEdit.PutPolicy put) {
                mPolicy = put.policy();
            } else if (edit instanceof SettingsEdit.ReplaceAll all) {
                replace(all.settings());
            } else if (edit instanceof SettingsEdit.Delete delete) {
                delete(delete.path());
            }
        }

        private void delete(String path) {
            int slash = path.indexOf('/');
            String section = slash < 0 ? path : path.substring(0, slash);
            Map<String, ?> entries =
                    switch (section) {
                        case "zones" -> mZones;
                        case "pools" -> mPools;
                        case "services" -> mServices;
                        case "teams" -> mTeams;
                        case "hosts" -> mHosts;
                        default -> Map.of();
                    };
            String name = path.substring(slash + 1);
            if (slash < 0 || !entries.containsKey(name)) {
                mErrors.add(new SettingsError(path, 0, "cannot delete: path does not exist"));
                return;
            }
            entries.remove(name);
        }

        FleetSettings build() {
            return new FleetSettings(mZones, mPools, mServices, mTeams, mHosts, mPolicy);
        }
    }
}
