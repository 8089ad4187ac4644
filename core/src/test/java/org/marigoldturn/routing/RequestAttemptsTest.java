package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Checks the rules for attempts and outcomes against generated sequences of events. */
class RequestAttemptsTest {
    private enum Event {
        NOT_PROCESSED,
        MAY_HAVE_RUN,
        REPLACE,
        ANSWER,
        ABANDON
    }

    /**
     * Guards against a non-idempotent request that is sent twice although it may have run, a false
     * {@code not-run}, more than three attempts, and attempts after the end.
     */
    @Property(tries = 2_000, seed = "4031")
    void keepsTheRulesForEverySequence(
            @ForAll boolean idempotent,
            @ForAll @Size(min = 1, max = 8) List<Event> events,
            @ForAll long seed) {
        Random random = new Random(seed);
        RequestAttempts attempts = new RequestAttempts(idempotent, new RetryBudget());
        int sent = 0;
        int mayHaveRun = 0;
        for (Event event : events) {
            if (attempts.state().isFinal()) {
                break;
            }
            if (attempts.state() == RequestState.QUEUED && event != Event.ABANDON) {
                assertThat(idempotent || mayHaveRun == 0).isTrue();
                attempts.dispatch("host-" + sent++);
            }
            boolean dispatched = attempts.state() == RequestState.DISPATCHING;
            boolean certain = event == Event.NOT_PROCESSED;
            apply(attempts, event, random);
            boolean replaced = event != Event.REPLACE || attempts.state() == RequestState.QUEUED;
            mayHaveRun += dispatched && !certain && replaced ? 1 : 0;
        }
        assertThat(sent).isLessThanOrEqualTo(RequestAttempts.MAX_ATTEMPTS);
        assertThat(attempts.attempts()).isEqualTo(sent);
        if (attempts.state() == RequestState.NOT_RUN) {
            assertThat(mayHaveRun).isZero();
        }
        if (attempts.state() == RequestState.UNKNOWN) {
            assertThat(mayHaveRun).isPositive();
        }
    }

    private static void apply(RequestAttempts attempts, Event event, Random random) {
        long remaining = random.nextLong(1_000) - 100;
        boolean other = random.nextInt(4) > 0;
        switch (event) {
            case NOT_PROCESSED ->
                    check(
                            attempts.onFailed(
                                    AttemptFailure.NOT_PROCESSED, remaining, other, random));
            case MAY_HAVE_RUN ->
                    check(attempts.onFailed(AttemptFailure.MAY_HAVE_RUN, remaining, other, random));
            case REPLACE -> {
                long delay = attempts.tryReplace(remaining, other, random).orElse(0);
                assertThat(delay).isBetween(0L, Math.max(0, remaining / 2));
            }
            case ANSWER -> attempts.onResponseStarted();
            case ABANDON -> check(attempts.abandon("deadline-passed"));
        }
    }

    private static void check(AttemptDecision decision) {
        assertThat(decision).isNotNull();
    }

    /** Guards against retries that multiply the load while all targets fail. */
    @Property(tries = 100, seed = "4032")
    void retriesStayWithinTheBudget(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget();
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            if (random.nextInt(3) == 0) {
                budget.onRequest();
                requests++;
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertThat(retries).isLessThanOrEqualTo(requests / 10 + RetryBudget.BURST_RETRIES);
        }
    }
}
