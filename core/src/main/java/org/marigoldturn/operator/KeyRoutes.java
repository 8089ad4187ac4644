package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Put;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.TeamKey;
import org.marigoldturn.settings.TeamSettings;

/**
 * Routes that list, add and revoke the keys of teams. Thread safe.
 *
 * <p>The command line generates the secret and sends only its salted hash, so that a repeated
 * request stores the same key and no secret reaches a daemon.
 */
final class KeyRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;

    KeyRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Lists the ids and creation times of a team's keys. */
    @Get("/teams/{team}/keys")
    public HttpResponse list(@Param("team") String team) {
        return Responses.json(
                team(mParts.state().get().settings(), team).keys().stream()
                        .map(
                                key ->
                                        Map.of(
                                                "id",
                                                key.id(),
                                                "createdAtMillis",
                                                key.createdAtMillis()))
                        .toList());
    }

    /** Adds a key by its salted hash. */
    @Put("/teams/{team}/keys/{id}")
    public CompletableFuture<HttpResponse> add(
            @Param("team") String team, @Param("id") String id, AggregatedHttpRequest request) {
        TeamKey key = key(id, request);
        return mChanges.change(request.headers(), state -> add(team(state.settings(), team), key));
    }

    /** Revokes a key. */
    @Delete("/teams/{team}/keys/{id}")
    public CompletableFuture<HttpResponse> revoke(
            @Param("team") String team, @Param("id") String id, RequestHeaders headers) {
        return mChanges.change(headers, state -> revoke(team(state.settings(), team), id));
    }

    private static List<SettingsEdit> add(TeamSettings team, TeamKey key) {
        List<TeamKey> keys = new ArrayList<>(team.keys());
        for (TeamKey existing : keys) {
            if (existing.equals(key)) {
                return List.of();
            }
            if (existing.id().equals(key.id())) {
                throw new OperatorException(
                        HttpStatus.UNPROCESSABLE_ENTITY,
                        "duplicate-key",
                        "team \"%s\" already has a key \"%s\"; use another id or revoke it first"
                                .formatted(team.name(), key.id()),
                        Map.of());
            }
        }
        keys.add(key);
        return List.of(putKeys(team, keys));
    }

    private static List<SettingsEdit> revoke(TeamSettings team, String id) {
        List<TeamKey> keys = team.keys().stream().filter(k -> !k.id().equals(id)).toList();
        if (keys.size() == team.keys().size()) {
            throw OperatorException.notFound("key", team.name() + "/" + id);
        }
        return List.of(putKeys(team, keys));
    }

    private static SettingsEdit putKeys(TeamSettings team, List<TeamKey> keys) {
        return new SettingsEdit.PutTeam(
                new TeamSettings(team.name(), team.shareWeight(), team.runningLimit(), keys));
    }

    private static TeamSettings team(FleetSettings settings, String name) {
        return (TeamSettings) ResourceRoutes.require(ResourceKind.TEAMS, settings, name);
    }

    private static TeamKey key(String id, AggregatedHttpRequest request) {
        try {
            TeamKey key =
                    Responses.JSON.treeToValue(
                            ResourceRoutes.body(request).put("id", id), TeamKey.class);
            if (key.saltHex() == null || key.hashHex() == null) {
                throw OperatorException.badRequest(
                        "a key must have the fields saltHex and hashHex");
            }
            return key;
        } catch (JsonProcessingException e) {
            throw OperatorException.badRequest("invalid key: " + e.getOriginalMessage());
        }
    }
}
