package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.StoredValue;

/** Guards against a wait for unread targets that begins anew with each owner, or ends too early. */
class UnreadTargetNoteTest {
    private static final long TAKEOVER_MILLIS = 100_000;
    private static final long LEASE_MILLIS = 8_160;

    private final ControlLoop mControl = new ControlLoop();
    private final MemoryStore mStore = new MemoryStore();
    private final GroupCommit mCommits =
            new GroupCommit(mStore, mControl, Clocks.system(), mStore.writeTerm(), () -> {});
    private final UnreadTargetNote mNote =
            note(4, new TakeoverTimes(TAKEOVER_MILLIS, 0, 0, 0, 0, 1));

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void theNextOwnerWaitsOnlyForWhatIsLeft() throws Exception {
        writeNoteOf(unread("t1"));
        // The next owner has another monotonic clock.
        TakeoverTimes next = new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1);
        assertThat(note(5, next).restore(stored()).millis(entry("t1", 1)))
                .isEqualTo(7_000 + LEASE_MILLIS - 3_000);
        TakeoverTimes late = new TakeoverTimes(7_000, 60_000, 0, 0, 0, 1);
        assertThat(note(5, late).restore(stored()).millis(entry("t1", 1))).isEqualTo(7_000);
    }

    @Example
    void anotherTargetOrAnotherIncarnationIsWaitedForInFull() throws Exception {
        writeNoteOf(unread("t1"));
        UnreadTargetNote.RunsEnds ends =
                note(5, new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1)).restore(stored());
        assertThat(ends.millis(entry("t2", 1))).isEqualTo(Long.MAX_VALUE);
        assertThat(ends.millis(entry("t1", 2))).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against the note of an owner that others have followed, which may use its targets. */
    @Example
    void onlyTheNoteOfTheLastTermCounts() throws Exception {
        writeNoteOf(unread("t1"));
        TakeoverTimes times = new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1);
        assertThat(note(6, times).restore(stored()).millis(entry("t1", 1)))
                .isEqualTo(Long.MAX_VALUE);
        StoredValue damaged =
                new StoredValue(StoreLayout.UNREAD_TARGETS, ByteString.copyFromUtf8("?"), 1, 1);
        assertThat(note(5, times).restore(Optional.of(damaged)).millis(entry("t1", 1)))
                .isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a wait that begins anew after an owner that is replaced before it serves. */
    @Example
    void aNoteThatIsPassedOnCountsOverTwoOwners() throws Exception {
        writeNoteOf(unread("t1"));
        TakeoverTimes second = new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1);
        UnreadTargetNote passing = note(5, second);
        CompletableFuture<Void> done = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    UnreadTargetNote.RunsEnds noted = passing.restore(stored());
                    JobScheduler scheduler = scheduler(5, 7_000);
                    TargetEntry entry = entry("t1", 1);
                    passing.write(
                            List.of(scheduler.restoreTarget(entry, noted.millis(entry), 7_000)));
                    mCommits.flush().thenRun(() -> done.complete(null));
                });
        done.get(10, TimeUnit.SECONDS);
        TakeoverTimes third = new TakeoverTimes(90_000, 1_000, 0, 0, 0, 1);
        assertThat(note(6, third).restore(stored()).millis(entry("t1", 1)))
                .isEqualTo(90_000 + LEASE_MILLIS - 3_000 - 1_000);
    }

    /** Guards against a lease of this owner that the next one does not wait for. */
    @Example
    void aTargetThatRespondsIsUsedOnlyOnceTheStoreDoesNotHoldItsNote() throws Exception {
        writeNoteOf(unread("t1"), unread("t2"));
        CompletableFuture<Boolean> wasDone = new CompletableFuture<>();
        CompletableFuture<Optional<StoredValue>> atRemoval = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    CompletableFuture<Void> removed = mNote.remove(entry("t1", 1));
                    wasDone.complete(removed.isDone());
                    removed.thenRun(() -> atRemoval.complete(stored()));
                });
        assertThat(wasDone.get(10, TimeUnit.SECONDS)).isFalse();
        UnreadTargetNote.RunsEnds ends =
                note(5, new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1))
                        .restore(atRemoval.get(10, TimeUnit.SECONDS));
        assertThat(ends.millis(entry("t1", 1))).isEqualTo(Long.MAX_VALUE);
        assertThat(ends.millis(entry("t2", 1))).isLessThan(Long.MAX_VALUE);
    }

    @Example
    void aTargetThatIsNotNotedIsUsedAtOnce() throws Exception {
        writeNoteOf(unread("t1"));
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mControl.execute(() -> done.complete(mNote.remove(entry("t2", 1)).isDone()));
        assertThat(done.get(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against a full wait for a lease whose end the last owner knew. */
    @Example
    void theNextOwnerWaitsForTheLeaseOfALostTarget() throws Exception {
        TargetState lost = unread("t1");
        lost.extendLease(TAKEOVER_MILLIS + 9_000);
        onControl(() -> mNote.writeLost(List.of(lost)));
        UnreadTargetNote.RunsEnds ends =
                note(5, new TakeoverTimes(7_000, 3_000, 0, 0, 0, 1)).restore(stored());
        assertThat(ends.millis(entry("t1", 1))).isEqualTo(7_000 + 9_000 - 3_000);
    }

    @Example
    void lostTargetsAreNotedBesideUnreadOnes() throws Exception {
        writeNoteOf(unread("t1"));
        TargetState lost = unread("t2");
        lost.extendLease(TAKEOVER_MILLIS + 9_000);
        onControl(() -> mNote.writeLost(List.of(lost)));
        UnreadTargetNote.RunsEnds ends =
                note(5, new TakeoverTimes(7_000, 0, 0, 0, 0, 1)).restore(stored());
        assertThat(ends.millis(entry("t1", 1))).isEqualTo(7_000 + LEASE_MILLIS);
        assertThat(ends.millis(entry("t2", 1))).isEqualTo(7_000 + 9_000);
    }

    @Example
    void aLostTargetWithoutARecordIsNotNoted() throws Exception {
        TargetState lost = unread("t1");
        lost.setRecorded(false);
        onControl(() -> mNote.writeLost(List.of(lost)));
        assertThat(stored()).isEmpty();
    }

    /** Guards against a wait that is shortened for this owner but not for the next one. */
    @Example
    void aLaterNoteWithAnEarlierEndReplacesTheNote() throws Exception {
        JobScheduler scheduler = scheduler();
        TargetState unread = scheduler.restoreTarget(entry("t1", 1), TAKEOVER_MILLIS);
        writeNoteOf(unread);
        scheduler.shortenEarlierLeases(TAKEOVER_MILLIS + 2_500);
        writeNoteOf(unread);
        assertThat(
                        note(5, new TakeoverTimes(7_000, 0, 0, 0, 0, 1))
                                .restore(stored())
                                .millis(entry("t1", 1)))
                .isEqualTo(7_000 + 2_500);
    }

    private UnreadTargetNote note(long term, TakeoverTimes times) {
        return new UnreadTargetNote(term, times, mCommits);
    }

    private void writeNoteOf(TargetState... targets) throws Exception {
        onControl(() -> mNote.write(List.of(targets)));
    }

    /** Runs an action and waits until its writes are stored. */
    private void onControl(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    action.run();
                    mCommits.flush().thenRun(() -> done.complete(null));
                });
        done.get(10, TimeUnit.SECONDS);
    }

    private Optional<StoredValue> stored() {
        return mStore.value(StoreLayout.UNREAD_TARGETS);
    }

    private static TargetState unread(String id) {
        return scheduler().restoreTarget(entry(id, 1), TAKEOVER_MILLIS);
    }

    private static JobScheduler scheduler() {
        return scheduler(4, TAKEOVER_MILLIS);
    }

    private static JobScheduler scheduler(long term, long takeoverMillis) {
        return new JobScheduler(
                new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                term,
                takeoverMillis,
                LEASE_MILLIS,
                LEASE_MILLIS);
    }

    private static TargetEntry entry(String id, long startedEpochMillis) {
        return new TargetEntry(
                id,
                startedEpochMillis,
                "h-" + id,
                "service",
                "127.0.0.1:9",
                "z",
                "r",
                Set.of("kind", "r"),
                new ResourceAmounts(8_000, 16_000, 1),
                false);
    }
}
