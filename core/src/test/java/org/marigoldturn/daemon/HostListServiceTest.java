package org.marigoldturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.entry.AbandonedAttempts;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.store.HostDirectory;
import org.marigoldturn.store.HostDirectoryException;
import org.marigoldturn.store.HostListQuery;
import org.marigoldturn.store.HostListResponse;
import org.marigoldturn.store.HostPresence;
import org.marigoldturn.store.HostUsage;

/**
 * Guards against usage reports that are missing, that are taken as evidence of an event after them,
 * or that are requested without need.
 */
class HostListServiceTest {
    private static final long SKEW_MILLIS = 2_000;

    private final List<HostListQuery> mQueries = new ArrayList<>();
    private final List<CompletableFuture<HostListResponse>> mResponses = new ArrayList<>();
    private final AtomicLong mNowMillis = new AtomicLong(1_000_000);
    private final EndedDaemons mEnded = new EndedDaemons();
    private final ControlLoop mControl = new ControlLoop();
    private final HostListService mService =
            new HostListService(
                    "self",
                    new FakeDirectory(),
                    mEnded,
                    new AbandonedAttempts(),
                    mControl,
                    mNowMillis::get);

    private final class FakeDirectory implements HostDirectory {
        @Override
        public CompletableFuture<HostListResponse> read(HostListQuery query) {
            CompletableFuture<HostListResponse> response = new CompletableFuture<>();
            mQueries.add(query);
            mResponses.add(response);
            return response;
        }

        @Override
        public void close() {}
    }

    @AfterTry
    void close() {
        mControl.close();
    }

    @Example
    void usageIsRequestedOnlyUntilAnEndedDaemonIsProvenIdle() {
        readAll();
        onControl(mService::refresh);
        assertThat(mQueries.get(1)).isEqualTo(new HostListQuery("i", 1, Set.of()));
        respond(1, List.of());
        onControl(() -> mEnded.onEnded("d1", mNowMillis.get()));
        mNowMillis.addAndGet(1);
        onControl(mService::refresh);
        assertThat(mQueries.get(2).usageHosts()).containsExactly("h1");
        respond(2, List.of(new HostUsage("h1", mNowMillis.get() + SKEW_MILLIS, Map.of())));
        onControl(mService::refresh);
        assertThat(mQueries.get(3).usageHosts()).isEmpty();
        onControl(() -> assertThat(mEnded.withoutRequests(Set.of("h1"))).containsExactly("d1"));
    }

    /** Guards against a report that misses a request which the daemon started before it ended. */
    @Example
    void reportRequestedBeforeTheEndIsNoEvidence() {
        mService.requireUsageOf(() -> Set.of("h1"));
        readAll();
        onControl(mService::refresh);
        mNowMillis.addAndGet(1);
        onControl(() -> mEnded.onEnded("d1", mNowMillis.get()));
        respond(1, List.of(new HostUsage("h1", mNowMillis.get() + 2 * SKEW_MILLIS, Map.of())));
        onControl(() -> assertThat(mEnded.withoutRequests(Set.of("h1"))).isEmpty());
        assertThat(mService.usage("h1").orElseThrow().madeAtMillis())
                .isEqualTo(mNowMillis.get() - 1);
    }

    /** Guards against a report that was made before the daemon ended but arrives after that. */
    @Example
    void reportMadeBeforeTheEndIsNoEvidence() {
        readAll();
        onControl(() -> mEnded.onEnded("d1", mNowMillis.get()));
        mNowMillis.addAndGet(10_000);
        onControl(mService::refresh);
        respond(1, List.of(new HostUsage("h1", mNowMillis.get() - 9_000, Map.of())));
        onControl(() -> assertThat(mEnded.withoutRequests(Set.of("h1"))).isEmpty());
    }

    /** Guards against a leaving host that is noticed only at the next periodic complete read. */
    @Example
    void gapCausesOneImmediateCompleteRead() {
        readAll();
        onControl(mService::refresh);
        complete(1, response(OptionalLong.of(9), HostPresence.LIVE, List.of()));
        assertThat(mQueries).hasSize(3);
        assertThat(mQueries.get(2).isComplete()).isTrue();
        complete(2, response(OptionalLong.of(9), HostPresence.LIVE, List.of()));
        assertThat(mQueries).hasSize(3);
        onControl(mService::refresh);
        assertThat(mQueries.get(3).isComplete()).isTrue();
        complete(3, response(OptionalLong.empty(), HostPresence.LEAVING, List.of()));
        assertThat(mService.isLeavingOrEnded("h1")).isTrue();
    }

    /** Guards against a failed read that ends the periodic reads or discards the list. */
    @Example
    void failedReadKeepsTheListAndIsRetried() {
        readAll();
        onControl(mService::refresh);
        mResponses.get(1).completeExceptionally(new HostDirectoryException("no answer", null));
        onControl(mService::refresh);
        assertThat(mQueries.get(2)).isEqualTo(mQueries.get(1));
        assertThat(mService.hosts()).containsKey("h1");
    }

    private void readAll() {
        onControl(mService::refresh);
        assertThat(mQueries.get(0).isComplete()).isTrue();
        complete(0, response(OptionalLong.empty(), HostPresence.LIVE, List.of()));
    }

    private void respond(int query, List<HostUsage> usage) {
        long since = mQueries.get(query).sinceRevision();
        complete(
                query,
                new HostListResponse(
                        "i",
                        OptionalLong.of(since),
                        since,
                        Map.of(HostPresence.LIVE, 1),
                        Map.of(),
                        Set.of(),
                        usage));
    }

    private static HostListResponse response(
            OptionalLong since, HostPresence presence, List<HostUsage> usage) {
        long revision = since.orElse(1);
        return new HostListResponse(
                "i", since, revision, Map.of(presence, 1), Map.of("h1", presence), Set.of(), usage);
    }

    private void complete(int query, HostListResponse response) {
        mResponses.get(query).complete(response);
        onControl(() -> {});
    }

    private void onControl(Runnable task) {
        CompletableFuture.runAsync(task, mControl).join();
    }
}
