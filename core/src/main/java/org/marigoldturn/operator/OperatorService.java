package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.annotation.ExceptionHandlerFunction;
import java.util.List;
import java.util.Map;

/**
 * HTTP service for operators. Every route except {@code /health} needs the operator token. Thread
 * safe.
 */
public final class OperatorService {
    /** Far above the 0.5 MB that the settings of a fleet of the design size take. */
    static final int MAX_BODY_BYTES = 8 << 20;

    static final int MAX_HEADER_BYTES = 16_384;
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    private static final String API = "/v1";

    private final OperatorParts mParts;

    /** Creates the service. */
    public OperatorService(OperatorParts parts) {
        mParts = parts;
    }

    /** Adds the routes and limits to a server. */
    public void register(ServerBuilder builder) {
        builder.http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http2MaxHeaderListSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .maxRequestLength(MAX_BODY_BYTES)
                .disableServerHeader();
        ChangePipeline changes = new ChangePipeline(mParts);
        TokenDecorator token = new TokenDecorator(mParts.token());
        ExceptionHandlerFunction problems = (ctx, request, cause) -> Responses.problem(cause);
        List<Object> routes =
                List.of(
                        new SettingsRoutes(mParts, changes),
                        new ResourceRoutes(mParts, changes),
                        new KeyRoutes(mParts, changes),
                        new ZoneRoutes(mParts, changes),
                        new HostRoutes(mParts, changes),
                        new WaveRoutes(mParts, changes));
        for (Object route : routes) {
            builder.annotatedService()
                    .pathPrefix(API)
                    .exceptionHandlers(problems)
                    .decorator(token)
                    .build(route);
        }
        builder.annotatedService()
                .exceptionHandlers(problems)
                .decorator(token)
                .build(new StatusRoutes(mParts, changes));
        builder.service("/health", (ctx, request) -> HttpResponse.of(HttpStatus.OK));
        HttpService notFound =
                (ctx, request) ->
                        Responses.problem(
                                HttpStatus.NOT_FOUND,
                                "not-found",
                                "no such path: " + ctx.path(),
                                Map.of());
        builder.serviceUnder("/", notFound.decorate(token));
    }
}
