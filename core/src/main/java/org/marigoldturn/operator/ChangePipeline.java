package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.marigoldturn.fleet.FleetPlanner;
import org.marigoldturn.membership.AcceptanceResult;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Commits the changes of operators and waits until each is accepted, that is, in force at all
 * daemons. Thread safe.
 *
 * <p>The edits of a change are computed from the newest state that this daemon holds. If another
 * change was committed meanwhile, they are computed again, provided that the other change was the
 * planner's or left the edited entries unchanged. With the header If-Version, the change fails
 * instead if the settings have another version.
 */
final class ChangePipeline {
    static final String IF_VERSION = "if-version";
    static final String CHANGE_ID = "marigoldturn-change-id";
    static final String AUTHOR = "marigoldturn-author";

    /** Exceeds the 2000 ms validity of a confirmation plus the 2500 ms acceptance wait. */
    private static final long ACCEPTANCE_TIMEOUT_MILLIS = 6_000;

    /** Commits of a change plus waits of {@link #RETRY_DELAY_MILLIS} for the winning version. */
    private static final int MAX_ATTEMPTS = 8;

    private static final Pattern VALID_ID = Pattern.compile("[A-Za-z0-9._@-]{1,80}");
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final Executor RETRY_EXECUTOR =
            CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);

    private final OperatorParts mParts;

    ChangePipeline(OperatorParts parts) {
        mParts = parts;
    }

    /** Values of the headers of a change. */
    private record Request(String changeId, String author, long ifVersion) {
        boolean hasExpectedVersion() {
            return ifVersion != SettingsChange.ANY_VERSION;
        }
    }

    /**
     * Commits the edits and waits for acceptance.
     *
     * @param edits computes the edits from a state; called again after a conflict that {@link
     *     #mayRepeat} allows to repeat
     */
    CompletableFuture<HttpResponse> change(
            RequestHeaders headers, Function<VersionedState, List<SettingsEdit>> edits) {
        return attempt(request(headers), edits, 1).exceptionally(Responses::problem);
    }

    /** Removes an ended daemon from the member set and waits for acceptance. */
    CompletableFuture<HttpResponse> forget(RequestHeaders headers, String memberId) {
        Request request = request(headers);
        return mParts.memberRemover()
                .remove(memberId, request.changeId(), request.author())
                .thenCompose(result -> respond(request, result))
                .exceptionally(Responses::problem);
    }

    private CompletableFuture<HttpResponse> attempt(
            Request request,
            Function<VersionedState, List<SettingsEdit>> computeEdits,
            int attempt) {
        VersionedState state = mParts.state().get();
        List<SettingsEdit> edits = computeEdits.apply(state);
        if (edits.isEmpty()) {
            return accepted(request, state.version(), true);
        }
        long base = request.hasExpectedVersion() ? request.ifVersion() : state.version();
        SettingsChange change =
                new SettingsChange(request.changeId(), request.author(), base, edits);
        return mParts.committer()
                .commit(change, mParts.nowMillis().getAsLong())
                .thenCompose(
                        result ->
                                result instanceof ChangeResult.Conflict conflict
                                                && !request.hasExpectedVersion()
                                        ? afterConflict(
                                                request,
                                                computeEdits,
                                                state,
                                                edits,
                                                conflict,
                                                attempt)
                                        : respond(request, result));
    }

    /** Waits until this daemon holds the winning version, then repeats the change if allowed. */
    private CompletableFuture<HttpResponse> afterConflict(
            Request request,
            Function<VersionedState, List<SettingsEdit>> computeEdits,
            VersionedState before,
            List<SettingsEdit> edits,
            ChangeResult.Conflict conflict,
            int attempt) {
        if (attempt >= MAX_ATTEMPTS) {
            return respond(request, conflict);
        }
        return CompletableFuture.supplyAsync(mParts.state(), RETRY_EXECUTOR)
                .thenCompose(
                        now -> {
                            if (now.version() < conflict.winner().version()) {
                                return afterConflict(
                                        request,
                                        computeEdits,
                                        before,
                                        edits,
                                        conflict,
                                        attempt + 1);
                            }
                            return mayRepeat(before, now, edits, conflict)
                                    ? attempt(request, computeEdits, attempt + 1)
                                    : respond(request, conflict);
                        });
    }

    /**
     * Returns whether a change may be repeated after a conflict: always if the planner won, since
     * its decisions never take precedence over those of an operator; otherwise only if the entries
     * at the edited paths are unchanged.
     */
    private static boolean mayRepeat(
            VersionedState before,
            VersionedState now,
            List<SettingsEdit> edits,
            ChangeResult.Conflict conflict) {
        return conflict.winner().author().equals(FleetPlanner.AUTHOR)
                || edits.stream()
                        .allMatch(
                                edit ->
                                        Objects.equals(
                                                entry(before.settings(), edit.path()),
                                                entry(now.settings(), edit.path())));
    }

    /**
     * Returns the entry at the path of an edit, or null; the empty path stands for all settings.
     */
    private static Object entry(FleetSettings settings, String path) {
        if (path.isEmpty()) {
            return settings;
        }
        if (path.equals("policy")) {
            return settings.policy();
        }
        int slash = path.indexOf('/');
        return ResourceKind.of(path.substring(0, slash))
                .entries(settings)
                .get(path.substring(slash + 1));
    }

    private CompletableFuture<HttpResponse> respond(Request request, ChangeResult result) {
        if (result instanceof ChangeResult.Committed committed) {
            long version = committed.state().state().version();
            Logger.info(
                    "operator: version {} holds change {} of {}.",
                    version,
                    request.changeId(),
                    request.author());
            return accepted(request, version, false);
        }
        if (result instanceof ChangeResult.Conflict conflict) {
            throw conflict(conflict);
        }
        throw invalid((ChangeResult.Invalid) result);
    }

    private CompletableFuture<HttpResponse> accepted(
            Request request, long version, boolean unchanged) {
        return mParts.acceptance()
                .awaitAccepted(version, ACCEPTANCE_TIMEOUT_MILLIS)
                .exceptionally(
                        failure -> {
                            Logger.warn(
                                    failure,
                                    "operator: waiting for acceptance of version {} failed;"
                                            + " reporting it as committed",
                                    version);
                            return new AcceptanceResult(false, List.of());
                        })
                .thenApply(
                        acceptance ->
                                Responses.json(
                                        acceptance.accepted() ? HttpStatus.OK : HttpStatus.ACCEPTED,
                                        MediaType.JSON,
                                        new ChangeResponse(
                                                request.changeId(),
                                                version,
                                                acceptance.accepted()
                                                        ? ChangeResponse.ACCEPTED
                                                        : ChangeResponse.COMMITTED,
                                                acceptance.missingMembers(),
                                                unchanged)));
    }

    private static OperatorException conflict(ChangeResult.Conflict conflict) {
        Manifest winner = conflict.winner();
        String path = conflict.path() == null ? "" : conflict.path();
        String detail =
                ("%s committed change %s as version %d first;"
                                + " the change of path \"%s\" was not applied")
                        .formatted(winner.author(), winner.changeId(), winner.version(), path);
        return new OperatorException(
                HttpStatus.CONFLICT,
                "conflict",
                detail,
                Map.of(
                        "author", winner.author(),
                        "changeId", winner.changeId(),
                        "version", winner.version(),
                        "path", path));
    }

    private static OperatorException invalid(ChangeResult.Invalid invalid) {
        return new OperatorException(
                HttpStatus.UNPROCESSABLE_ENTITY,
                "invalid-settings",
                "the resulting settings would be invalid",
                Map.of("errors", invalid.errors()));
    }

    private static Request request(RequestHeaders headers) {
        String ifVersion = headers.get(IF_VERSION);
        long version = SettingsChange.ANY_VERSION;
        if (ifVersion != null) {
            if (!ifVersion.matches("[0-9]{1,18}")) {
                throw OperatorException.badRequest(
                        "header If-Version must be a version number, not \"" + ifVersion + "\"");
            }
            version = Long.parseLong(ifVersion);
        }
        return new Request(
                requireValidId(CHANGE_ID, headers.get(CHANGE_ID, UUID.randomUUID().toString())),
                requireValidId(AUTHOR, headers.get(AUTHOR, "operator")),
                version);
    }

    /** Checks a header value that becomes part of store keys and log lines. */
    private static String requireValidId(String header, String value) {
        if (!VALID_ID.matcher(value).matches()) {
            throw OperatorException.badRequest(
                    "header " + header + " must match " + VALID_ID + ", not \"" + value + "\"");
        }
        return value;
    }
}
