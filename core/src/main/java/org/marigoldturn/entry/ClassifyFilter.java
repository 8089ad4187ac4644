package org.marigoldturn.entry;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.util.AsciiString;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.routing.RequestId;

/** Reads the method and headers of a request into a {@link CallerRequest}. Thread safe. */
final class ClassifyFilter {
    static final long MAX_DEADLINE_MILLIS = 3_600_000;

    private static final long MAX_NEED = 1_000_000_000;
    private static final int MAX_DIGITS = 10;
    private static final String NEED_CORES = "cores";
    private static final String NEED_MEMORY = "memory-mb";
    private static final String NEED_ACCELERATORS = "accelerators";
    private static final Set<String> NEED_NAMES =
            Set.of(NEED_CORES, NEED_MEMORY, NEED_ACCELERATORS);
    private static final Pattern DIGITS = Pattern.compile("[0-9]+");
    private static final Set<HttpMethod> IDEMPOTENT_METHODS =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.OPTIONS);
    private static final Set<HttpMethod> REFUSED_METHODS =
            Set.of(HttpMethod.CONNECT, HttpMethod.TRACE);

    /**
     * Why a request is refused by this filter.
     *
     * @param mayHaveRun whether an earlier request with the same id may have run
     */
    record ClassificationError(
            HttpStatus status, boolean mayHaveRun, String reason, String detail) {
        static ClassificationError header(AsciiString name, String expected) {
            return new ClassificationError(
                    HttpStatus.BAD_REQUEST,
                    false,
                    "invalid-header",
                    "header " + name + " must be " + expected);
        }

        EntryProblem problem() {
            return mayHaveRun
                    ? EntryProblem.unknown(status, reason, detail)
                    : EntryProblem.notRun(status, reason, detail);
        }
    }

    private final FilterMetrics mMetrics;
    private final RandomGenerator mRandom;

    ClassifyFilter(MetricRegistry metrics, RandomGenerator random) {
        mMetrics = new FilterMetrics(metrics, "classify");
        mRandom = random;
    }

    /**
     * Classifies a request.
     *
     * @param targetPath path and query that are sent to the target
     */
    Either<ClassificationError, CallerRequest> apply(
            RequestHeaders headers,
            Caller caller,
            String targetPath,
            long nowMillis,
            long nowNanos) {
        Either<ClassificationError, CallerRequest> request =
                checkMethodAndLength(headers, caller)
                        .flatMap(ok -> read(headers, caller, targetPath, nowMillis, nowNanos));
        if (request.isRight()) {
            mMetrics.passed();
        } else {
            mMetrics.rejected();
        }
        return request;
    }

    static ClassificationError bodyTooLarge(Caller caller) {
        return new ClassificationError(
                HttpStatus.REQUEST_ENTITY_TOO_LARGE,
                false,
                "body-too-large",
                "the body must have at most " + caller.service().maxBodyBytes() + " bytes");
    }

    private Either<ClassificationError, Boolean> checkMethodAndLength(
            RequestHeaders headers, Caller caller) {
        if (REFUSED_METHODS.contains(headers.method())) {
            return Either.left(
                    new ClassificationError(
                            HttpStatus.METHOD_NOT_ALLOWED,
                            false,
                            "method-not-allowed",
                            "method " + headers.method() + " is not supported"));
        }
        long length = headers.getLong(HttpHeaderNames.CONTENT_LENGTH, 0);
        return length > caller.service().maxBodyBytes()
                ? Either.left(bodyTooLarge(caller))
                : Either.right(true);
    }

    private Either<ClassificationError, CallerRequest> read(
            RequestHeaders headers,
            Caller caller,
            String targetPath,
            long nowMillis,
            long nowNanos) {
        Either<ClassificationError, Optional<RequestId>> id = requestId(headers, nowMillis);
        Either<ClassificationError, Boolean> marked = flag(headers, CallerHeaders.IDEMPOTENT);
        Either<ClassificationError, Boolean> urgent = flag(headers, CallerHeaders.URGENT);
        Either<ClassificationError, ResourceNeeds> needs = needs(headers);
        Either<ClassificationError, Long> deadline =
                deadlineMillis(headers, caller.service().defaultDeadlineMillis());
        for (Either<ClassificationError, ?> part : List.of(id, marked, urgent, needs, deadline)) {
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
        }
        long waitMillis = Math.min(deadline.get(), caller.service().defaultDeadlineMillis());
        return Either.right(
                new CallerRequest(
                        id.get().orElseGet(() -> RequestId.generate(nowMillis, mRandom)),
                        id.get().isPresent(),
                        caller,
                        marked.get() || IDEMPOTENT_METHODS.contains(headers.method()),
                        urgent.get(),
                        needs.get(),
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(deadline.get()),
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis),
                        targetPath));
    }

    private static Either<ClassificationError, Optional<RequestId>> requestId(
            RequestHeaders headers, long nowMillis) {
        return single(headers, CallerHeaders.REQUEST_ID)
                .flatMap(
                        text ->
                                text.isEmpty()
                                        ? Either.right(Optional.empty())
                                        : RequestId.parse(text.get(), nowMillis)
                                                .map(Optional::of)
                                                .mapLeft(ClassifyFilter::invalidId));
    }

    private static ClassificationError invalidId(RequestId.InvalidId invalid) {
        HttpStatus status = invalid.mayHaveRun() ? HttpStatus.CONFLICT : HttpStatus.BAD_REQUEST;
        return new ClassificationError(
                status, invalid.mayHaveRun(), "invalid-request-id", invalid.detail());
    }

    private static Either<ClassificationError, Boolean> flag(
            RequestHeaders headers, AsciiString name) {
        return single(headers, name)
                .flatMap(
                        text ->
                                switch (text.orElse("false")) {
                                    case "true" -> Either.right(true);
                                    case "false" -> Either.right(false);
                                    default ->
                                            Either.left(
                                                    ClassificationError.header(
                                                            name, "true or false"));
                                });
    }

    private static Either<ClassificationError, Long> deadlineMillis(
            RequestHeaders headers, long defaultMillis) {
        String expected = "a number from 1 to " + MAX_DEADLINE_MILLIS;
        return single(headers, CallerHeaders.DEADLINE_MILLIS)
                .flatMap(
                        text ->
                                text.isEmpty()
                                        ? Either.right(defaultMillis)
                                        : number(text.get(), 1, MAX_DEADLINE_MILLIS)
                                                .map(Either::<ClassificationError, Long>right)
                                                .orElseGet(() -> deadlineError(expected)));
    }

    private static Either<ClassificationError, Long> deadlineError(String expected) {
        return Either.left(ClassificationError.header(CallerHeaders.DEADLINE_MILLIS, expected));
    }

    private static Either<ClassificationError, ResourceNeeds> needs(RequestHeaders headers) {
        return single(headers, CallerHeaders.NEEDS)
                .flatMap(
                        text ->
                                parseNeeds(text.orElse(""))
                                        .map(Either::<ClassificationError, ResourceNeeds>right)
                                        .orElseGet(ClassifyFilter::needsError));
    }

    private static Either<ClassificationError, ResourceNeeds> needsError() {
        return Either.left(
                ClassificationError.header(
                        CallerHeaders.NEEDS,
                        "like cores=4,memory-mb=1024,accelerators=1, with each name at most once"
                                + " and numbers from 0 to "
                                + MAX_NEED));
    }

    private static Optional<ResourceNeeds> parseNeeds(String text) {
        Map<String, Long> values = new HashMap<>();
        if (text.isBlank()) {
            return Optional.of(ResourceNeeds.NONE);
        }
        for (String part : text.split(",", -1)) {
            String[] pair = part.trim().split("=", 2);
            Optional<Long> value =
                    pair.length == 2 ? number(pair[1], 0, MAX_NEED) : Optional.empty();
            boolean valid = value.isPresent() && NEED_NAMES.contains(pair[0]);
            if (!valid || values.put(pair[0], value.get()) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(
                new ResourceNeeds(
                        values.getOrDefault(NEED_CORES, 0L).intValue(),
                        values.getOrDefault(NEED_MEMORY, 0L),
                        values.getOrDefault(NEED_ACCELERATORS, 0L).intValue()));
    }

    private static Optional<Long> number(String text, long min, long max) {
        if (text.isEmpty() || text.length() > MAX_DIGITS || !DIGITS.matcher(text).matches()) {
            return Optional.empty();
        }
        long value = Long.parseLong(text);
        return value < min || value > max ? Optional.empty() : Optional.of(value);
    }

    /** Returns the trimmed value of a header that may appear at most once. */
    private static Either<ClassificationError, Optional<String>> single(
            RequestHeaders headers, AsciiString name) {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            return Either.left(ClassificationError.header(name, "present at most once"));
        }
        return Either.right(values.stream().findFirst().map(String::trim));
    }
}
