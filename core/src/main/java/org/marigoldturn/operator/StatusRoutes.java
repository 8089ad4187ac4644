package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.Member;

/** Routes of the fleet status, the daemons, decisions about requests, and metrics. Thread safe. */
final class StatusRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;
    private final CollectorRegistry mMetrics = new CollectorRegistry();

    StatusRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
        mMetrics.register(new DropwizardExports(parts.metrics()));
    }

    /** Returns the status of the fleet. */
    @Get("/v1/status")
    public CompletableFuture<HttpResponse> status() {
        return mParts.status().status().thenApply(Responses::json);
    }

    /** Lists the entry daemons that are members. */
    @Get("/v1/daemons")
    public HttpResponse daemons() {
        List<Member> members = mParts.state().get().members().members();
        return Responses.json(members);
    }

    /** Removes a daemon whose process has ended from the member set. */
    @Delete("/v1/daemons/{id}")
    public CompletableFuture<HttpResponse> forget(@Param("id") String id, RequestHeaders headers) {
        if (mParts.state().get().members().find(id).isEmpty()) {
            throw OperatorException.notFound("daemon", id);
        }
        return mChanges.forget(headers, id);
    }

    /** Returns the recent decisions of this daemon about a request. */
    @Get("/v1/explain/{requestId}")
    public HttpResponse explain(@Param("requestId") String requestId) {
        List<DecisionRecord> found = mParts.decisions().find(requestId);
        if (found.isEmpty()) {
            throw OperatorException.notFound("decision for request", requestId);
        }
        return Responses.json(Map.of("requestId", requestId, "decisions", found));
    }

    /** Returns all metrics in the text format of Prometheus. */
    @Get("/metrics")
    public HttpResponse metrics() throws IOException {
        StringWriter text = new StringWriter();
        TextFormat.write004(text, mMetrics.metricFamilySamples());
        return HttpResponse.of(
                HttpStatus.OK,
                MediaType.parse(TextFormat.CONTENT_TYPE_004),
                HttpData.ofUtf8(text.toString()));
    }
}
