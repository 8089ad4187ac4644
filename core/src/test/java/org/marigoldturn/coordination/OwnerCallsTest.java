package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.wire.JobCall;
import org.marigoldturn.jobs.wire.JobRecord;
import org.marigoldturn.jobs.wire.JobReply;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.store.StoreUnavailableException;
import org.marigoldturn.store.StoredValue;

/** Guards against an owner that tells that a job does not exist although a newer owner has it. */
class OwnerCallsTest {
    /** A store whose reads can fail, and that counts them. */
    private static final class CountingStore extends MemoryStore {
        private final AtomicInteger mReads = new AtomicInteger();
        private volatile CompletableFuture<Void> mMayRead = CompletableFuture.completedFuture(null);

        @Override
        public CompletableFuture<Optional<StoredValue>> read(String key) {
            mReads.incrementAndGet();
            return mMayRead.thenCompose(done -> super.read(key));
        }
    }

    private final ControlLoop mControl = new ControlLoop();
    private final CountingStore mStore = new CountingStore();
    private final AtomicInteger mFenced = new AtomicInteger();
    private final OwnerCalls mCalls =
            new OwnerCalls(
                    new JobScheduler(
                            new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                            1,
                            0,
                            0,
                            0),
                    new GroupCommit(
                            mStore,
                            mControl,
                            Clocks.system(),
                            mStore.writeTerm(),
                            mFenced::incrementAndGet),
                    null,
                    Clocks.system(),
                    new MetricRegistry(),
                    () -> {});

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void anUnknownJobIsReportedWhileTheStoreHoldsTheTerm() throws Exception {
        assertThat(outcome(JobCall.Kind.LOOK)).isEqualTo(JobReply.Outcome.NOT_FOUND);
        assertThat(outcome(JobCall.Kind.CANCEL)).isEqualTo(JobReply.Outcome.NOT_FOUND);
        assertThat(mFenced).hasValue(0);
    }

    @Example
    void aReplacedOwnerDoesNotReportAJobAsUnknown() throws Exception {
        mStore.writeTerm();
        assertThat(outcome(JobCall.Kind.LOOK)).isEqualTo(JobReply.Outcome.NOT_OWNER);
        assertThat(outcome(JobCall.Kind.CANCEL)).isEqualTo(JobReply.Outcome.NOT_OWNER);
        assertThat(mFenced.get()).isPositive();
    }

    @Example
    void anOwnerWithoutTheStoreDoesNotReportAJobAsUnknown() throws Exception {
        mStore.mMayRead =
                CompletableFuture.failedFuture(new StoreUnavailableException("test", null));
        assertThat(outcome(JobCall.Kind.LOOK)).isEqualTo(JobReply.Outcome.NOT_OWNER);
        assertThat(mFenced).hasValue(0);
    }

    /** Guards against a reply that rests on a read that was sent before the call. */
    @Example
    void callsThatComeDuringAReadShareTheNextOne() throws Exception {
        CompletableFuture<Void> mayRead = new CompletableFuture<>();
        mStore.mMayRead = mayRead;
        CompletableFuture<JobReply> first = handle(JobCall.Kind.LOOK);
        CompletableFuture<JobReply> second = handle(JobCall.Kind.LOOK);
        CompletableFuture<JobReply> third = handle(JobCall.Kind.CANCEL);
        mStore.mMayRead = CompletableFuture.completedFuture(null);
        mayRead.complete(null);
        for (CompletableFuture<JobReply> reply : List.of(first, second, third)) {
            assertThat(reply.get(10, TimeUnit.SECONDS).getOutcome())
                    .isEqualTo(JobReply.Outcome.NOT_FOUND);
        }
        assertThat(mStore.mReads).hasValue(2);
    }

    private JobReply.Outcome outcome(JobCall.Kind kind) throws Exception {
        return handle(kind).get(10, TimeUnit.SECONDS).getOutcome();
    }

    private CompletableFuture<JobReply> handle(JobCall.Kind kind) throws Exception {
        JobCall call =
                JobCall.newBuilder()
                        .setKind(kind)
                        .setJob(JobRecord.newBuilder().setId("unknown"))
                        .build();
        CompletableFuture<CompletableFuture<JobReply>> reply = new CompletableFuture<>();
        mControl.execute(() -> reply.complete(mCalls.handle(call)));
        return reply.get(10, TimeUnit.SECONDS);
    }
}
