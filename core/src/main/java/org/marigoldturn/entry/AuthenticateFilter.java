package org.marigoldturn.entry;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.admission.KeyAuthenticator.Authenticated;
import org.marigoldturn.admission.TeamAdmissionRules;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.TeamSettings;

/** Determines the service and the team of a request from its path and key. Thread safe. */
final class AuthenticateFilter {
    /** Team that requests without a key to open services are attributed to. */
    static final String OPEN_TEAM = "open";

    /** Why a request is not authenticated. */
    enum AuthenticationError {
        UNKNOWN_SERVICE,
        INVALID_KEY;

        EntryProblem problem() {
            return switch (this) {
                case UNKNOWN_SERVICE ->
                        EntryProblem.notRun(
                                HttpStatus.NOT_FOUND,
                                "unknown-service",
                                "the path names no service of the settings");
                case INVALID_KEY ->
                        EntryProblem.notRun(
                                HttpStatus.UNAUTHORIZED,
                                "invalid-key",
                                "the key is missing, unknown or revoked");
            };
        }
    }

    private final KeyAuthenticator mAuthenticator = new KeyAuthenticator();
    private final FilterMetrics mMetrics;

    AuthenticateFilter(MetricRegistry metrics) {
        mMetrics = new FilterMetrics(metrics, "authenticate");
    }

    Either<AuthenticationError, Caller> apply(
            String serviceName, RequestHeaders headers, FleetSettings settings) {
        Either<AuthenticationError, Caller> caller = find(serviceName, headers, settings);
        if (caller.isRight()) {
            mMetrics.passed();
        } else {
            mMetrics.rejected();
        }
        return caller;
    }

    /** Returns whether the key of a queued request is still valid; true if it has no key. */
    boolean isStillInForce(Caller caller, FleetSettings settings) {
        return caller.keyId()
                .map(id -> mAuthenticator.isInForce(settings, caller.rules().team(), id))
                .orElse(true);
    }

    private Either<AuthenticationError, Caller> find(
            String serviceName, RequestHeaders headers, FleetSettings settings) {
        ServiceSettings service = settings.services().get(serviceName);
        if (service == null) {
            return Either.left(AuthenticationError.UNKNOWN_SERVICE);
        }
        String presentedKey = headers.get(CallerHeaders.KEY, "");
        if (presentedKey.isEmpty() && service.open()) {
            return Either.right(new Caller(service, openRules(settings), Optional.empty()));
        }
        Optional<Authenticated> found = mAuthenticator.authenticate(settings, presentedKey);
        if (found.isEmpty()) {
            return Either.left(AuthenticationError.INVALID_KEY);
        }
        TeamSettings team = found.get().team();
        TeamAdmissionRules rules = new TeamAdmissionRules(team.name(), team.shareWeight(), true);
        return Either.right(new Caller(service, rules, Optional.of(found.get().keyId())));
    }

    private static TeamAdmissionRules openRules(FleetSettings settings) {
        TeamSettings team = settings.teams().get(OPEN_TEAM);
        return team == null
                ? new TeamAdmissionRules(OPEN_TEAM, 1, false)
                : new TeamAdmissionRules(OPEN_TEAM, team.shareWeight(), true);
    }
}
