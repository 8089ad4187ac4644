package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Put;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.SettingsEdit;

/** Routes that list, read, create, replace and delete entries of the settings. Thread safe. */
final class ResourceRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;

    ResourceRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Lists all entries of a kind. */
    @Get("regex:^/(?<kind>zones|pools|services|teams|hosts)$")
    public HttpResponse list(@Param("kind") String kind) {
        return Responses.json(ResourceKind.of(kind).entries(settings()).values());
    }

    /** Returns one entry. */
    @Get("regex:^/(?<kind>zones|pools|services|teams|hosts)/(?<name>[^/]+)$")
    public HttpResponse get(@Param("kind") String kind, @Param("name") String name) {
        return Responses.json(require(ResourceKind.of(kind), settings(), name));
    }

    /** Creates or replaces one entry. */
    @Put("regex:^/(?<kind>zones|pools|services|teams|hosts)/(?<name>[^/]+)$")
    public CompletableFuture<HttpResponse> put(
            @Param("kind") String kind, @Param("name") String name, AggregatedHttpRequest request) {
        ObjectNode body = body(request);
        body.put("name", name);
        return mChanges.change(
                request.headers(),
                state -> {
                    long nowMillis = mParts.nowMillis().getAsLong();
                    return List.of(ResourceKind.of(kind).put(state.settings(), body, nowMillis));
                });
    }

    /** Deletes one entry. */
    @Delete("regex:^/(?<kind>zones|pools|services|teams|hosts)/(?<name>[^/]+)$")
    public CompletableFuture<HttpResponse> delete(
            @Param("kind") String kind, @Param("name") String name, RequestHeaders headers) {
        return mChanges.change(
                headers,
                state -> {
                    require(ResourceKind.of(kind), state.settings(), name);
                    return List.of(new SettingsEdit.Delete(kind + "/" + name));
                });
    }

    static Object require(ResourceKind kind, FleetSettings settings, String name) {
        Object entry = kind.entries(settings).get(name);
        if (entry == null) {
            throw OperatorException.notFound(kind.path(), name);
        }
        return entry;
    }

    /** Reads a JSON object. */
    static ObjectNode body(AggregatedHttpRequest request) {
        try {
            JsonNode body = Responses.JSON.readTree(request.contentUtf8());
            if (body instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            throw OperatorException.badRequest(
                    "the body is not valid JSON: " + e.getOriginalMessage());
        }
        throw OperatorException.badRequest("the body must be a JSON object");
    }

    private FleetSettings settings() {
        return mParts.state().get().settings();
    }
}
