package org.marigoldturn.settings;

/** One edit of the operators' settings. */
public sealed interface SettingsEdit {
    /**
     * Returns the path that the edit changes, such as {@code teams/club}; conflicts are found by
     * it.
     */
    String path();

    /** Creates or replaces a zone. */
    record PutZone(ZoneSettings zone) implements SettingsEdit {
        @Override
        public String path() {
            return "zones/" + zone.name();
        }
    }

    /** Creates or replaces a pool. */
    record PutPool(PoolSettings pool) implements SettingsEdit {
        @Override
        public String path() {
            return "pools/" + pool.name();
        }
    }

    /** Creates or replaces a service. */
    record PutService(ServiceSettings service) implements SettingsEdit {
        @Override
        public String path() {
            return "services/" + service.name();
        }
    }

    /** Creates or replaces a team. */
    record PutTeam(TeamSettings team) implements SettingsEdit {
        @Override
        public String path() {
            return "teams/" + team.name();
        }
    }

    /** Creates or replaces a host. */
    record PutHost(HostSettings host) implements SettingsEdit {
        @Override
        public String path() {
            return "hosts/" + host.name();
        }
    }

    /** Replaces the settings and progress of the fleet planner. */
    record PutPolicy(FleetPolicy policy) implements SettingsEdit {
        @Override
        public String path() {
            return "policy";
        }
    }

    /** Deletes the entry at a path such as {@code pools/desk}. */
    record Delete(String path) implements SettingsEdit {}

    /** Replaces all settings. */
    record ReplaceAll(FleetSettings settings) implements SettingsEdit {
        @Override
        public String path() {
            return "";
        }
    }
}
