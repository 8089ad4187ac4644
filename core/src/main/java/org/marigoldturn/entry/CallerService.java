package org.marigoldturn.entry;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.settings.ZoneState;
import org.tinylog.Logger;

/**
 * Serves callers: {@code /services/{service}/...} is forwarded to a host of the service's pool.
 *
 * <p>Thread safe; reads one immutable state per request.
 */
public final class CallerService implements HttpService {
    private static final String OPEN_TEAM = "open";

    private final Supplier<VersionedState> mState;
    private final KeyAuthenticator mAuthenticator;
    private final ClientFactory mClientFactory;
    private final String mDaemonId;

    /** Creates the service. */
    public CallerService(
            Supplier<VersionedState> state,
            KeyAuthenticator authenticator,
            ClientFactory clientFactory,
            String daemonId) {
        mState = state;
        mAuthenticator = authenticator;
        mClientFactory = clientFactory;
        mDaemonId = daemonId;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        FleetSettings settings = mState.get().settings();
        String serviceName = ctx.pathParam("service");
        ServiceSettings service = settings.services().get(serviceName);
        if (service == null) {
            return Problems.notRun(
                    HttpStatus.NOT_FOUND,
                    "unknown-service",
                    "service \"" + serviceName + "\" does not exist");
        }
        String presentedKey = request.headers().get("marigoldturn-key", "");
        Optional<TeamSettings> team = mAuthenticator.authenticate(settings, presentedKey);
        if (team.isEmpty() && (!service.open() || !presentedKey.isEmpty())) {
            return Problems.notRun(
                    HttpStatus.UNAUTHORIZED, "invalid-key", "the key is not in force");
        }
        String teamName = team.map(TeamSettings::name).orElse(OPEN_TEAM);
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(body -> dispatch(ctx, settings, service, teamName, body)));
    }

    private HttpResponse dispatch(
            ServiceRequestContext ctx,
            FleetSettings settings,
            ServiceSettings service,
            String team,
            AggregatedHttpRequest request) {
        List<HostSettings> hosts = eligibleHosts(settings, service);
        if (hosts.isEmpty()) {
            return Problems.notRunRetryLater(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "no-host",
                    "pool \"" + service.pool() + "\" has no host in service",
                    1);
        }
        HostSettings host = hosts.get(ThreadLocalRandom.current().nextInt(hosts.size()));
        String requestId =
                request.headers().get("marigoldturn-request-id", UUID.randomUUID().toString());
        Logger.info(
                "routing: selected host. request={} team={} service={} host={} zone={} attempt=1",
                requestId,
                team,
                service.name(),
                host.name(),
                host.zone());
        WebClient client =
                WebClient.builder(
                                "%s://%s:%d"
                                        .formatted(
                                                service.protocol().uriScheme(),
                                                host.address(),
                                                host.port()))
                        .factory(mClientFactory)
                        .responseTimeoutMillis(service.defaultDeadlineMillis())
                        .build();
        RequestHeadersBuilder headers =
                RequestHeaders.builder(request.method(), "/" + ctx.pathParam("rest"))
                        .set("marigoldturn-request-id", requestId)
                        .set("marigoldturn-owner", mDaemonId)
                        .set("marigoldturn-team", team);
        copyHeaders(request.headers(), headers);
        return client.execute(HttpRequest.of(headers.build(), request.content()))
                .recover(CallerService::problem);
    }

    private static void copyHeaders(RequestHeaders from, RequestHeadersBuilder to) {
        from.forEach(
                (name, value) -> {
                    String text = name.toString();
                    boolean internal = text.startsWith(":") || text.startsWith("marigoldturn-");
                    if (!internal && !HttpHeaderNames.CONTENT_LENGTH.contentEquals(name)) {
                        to.add(name, value);
                    }
                });
    }

    private static List<HostSettings> eligibleHosts(
            FleetSettings settings, ServiceSettings service) {
        return settings.hosts().values().stream()
                .filter(host -> host.pool().equals(service.pool()))
                .filter(host -> host.state().acceptsWork())
                .filter(
                        host ->
                                settings.zones().get(host.zone()).state()
                                        != ZoneState.OUT_OF_SERVICE)
                .toList();
    }

    private static HttpResponse problem(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof UnprocessedRequestException) {
            return Problems.notRunRetryLater(
                    HttpStatus.SERVICE_UNAVAILABLE, "host-unreachable", "no host answered", 1);
        }
        return Problems.unknown(
                HttpStatus.BAD_GATEWAY, "target-failed", "the host's answer was not complete");
    }
}
