package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.ZoneSettings;

/** Kinds of settings entries that operators create, replace and delete. */
enum ResourceKind {
    ZONES {
        @Override
        Map<String, ?> entries(FleetSettings settings) {
            return settings.zones();
        }

        @Override
        SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis) {
            return new SettingsEdit.PutZone(
                    OperationalState.preserve(current, convert(body, ZoneSettings.class)));
        }
    },
    POOLS {
        @Override
        Map<String, ?> entries(FleetSettings settings) {
            return settings.pools();
        }

        @Override
        SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis) {
            return new SettingsEdit.PutPool(convert(body, PoolSettings.class));
        }
    },
    SERVICES {
        @Override
        Map<String, ?> entries(FleetSettings settings) {
            return settings.services();
        }

        @Override
        SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis) {
            return new SettingsEdit.PutService(convert(body, ServiceSettings.class));
        }
    },
    TEAMS {
        @Override
        Map<String, ?> entries(FleetSettings settings) {
            return settings.teams();
        }

        @Override
        SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis) {
            return new SettingsEdit.PutTeam(
                    OperationalState.preserve(current, convert(body, TeamSettings.class)));
        }
    },
    HOSTS {
        @Override
        Map<String, ?> entries(FleetSettings settings) {
            return settings.hosts();
        }

        @Override
        SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis) {
            return new SettingsEdit.PutHost(
                    OperationalState.preserve(
                            current, convert(body, HostSettings.class), nowMillis));
        }
    };

    /** Returns the entries of this kind by name. */
    abstract Map<String, ?> entries(FleetSettings settings);

    /**
     * Returns the edit that creates or replaces an entry.
     *
     * @param nowMillis current wall-clock time
     */
    abstract SettingsEdit put(FleetSettings current, ObjectNode body, long nowMillis);

    /** Returns the kind with the given path element, such as {@code pools}. */
    static ResourceKind of(String path) {
        for (ResourceKind kind : values()) {
            if (kind.path().equals(path)) {
                return kind;
            }
        }
        throw OperatorException.notFound("collection", path);
    }

    String path() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    private static <T> T convert(JsonNode body, Class<T> type) {
        try {
            return Responses.JSON.treeToValue(body, type);
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage().lines().findFirst().orElse("invalid value");
            throw OperatorException.badRequest(reason);
        }
    }
}
