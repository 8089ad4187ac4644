package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoreOutcomeUnknownException;

/**
 * Guards against records that are lost or replaced by older ones: when responses of the store are
 * lost, when commits are carried out late, and when there is a newer owner.
 */
class GroupCommitProperties {
    private static final int KEYS = 4;
    private static final int WRITES = 30;

    private final ControlLoop mControl = new ControlLoop();

    /** A store that loses responses and carries out commits late, also after newer ones. */
    private static final class UnreliableStore {
        private final MemoryStore mStore = new MemoryStore();
        private final Random mRandom;
        private final List<Runnable> mDelayed = new ArrayList<>();

        UnreliableStore(long seed) {
            mRandom = new Random(seed);
        }

        synchronized CompletableFuture<MetadataStore.CommitResult> commit(
                List<Compare> conditions,
                List<Operation.Put> puts,
                List<Operation.Delete> deletes) {
            boolean carryOutLate = mRandom.nextInt(4) == 0;
            if (mRandom.nextInt(3) == 0) {
                mDelayed.forEach(Runnable::run);
                mDelayed.clear();
            }
            if (carryOutLate) {
                mDelayed.add(() -> mStore.commit(conditions, puts, deletes));
                return unknown();
            }
            var result = mStore.commit(conditions, puts, deletes);
            return mRandom.nextInt(4) == 0 ? unknown() : result;
        }

        synchronized void carryOutDelayed() {
            mDelayed.forEach(Runnable::run);
            mDelayed.clear();
        }

        private static <T> CompletableFuture<T> unknown() {
            return CompletableFuture.failedFuture(
                    new CompletionException(new StoreOutcomeUnknownException("lost", null)));
        }
    }

    @Property(tries = 12, seed = "20261204")
    void eachRecordEndsAsItWasLastWrittenAndNoOlderOneReplacesIt(@ForAll long seed)
            throws Exception {
        UnreliableStore store = new UnreliableStore(seed);
        store.mStore.put(StoreLayout.OWNER_TERM, ByteString.copyFromUtf8("1"), 0);
        long term = store.mStore.value(StoreLayout.OWNER_TERM).orElseThrow().modRevision();
        GroupCommit commits = commits(store, term, () -> {});
        Random random = new Random(seed);
        Map<String, Integer> last = new HashMap<>();
        List<CompletableFuture<Void>> checks = new ArrayList<>();
        for (int version = 1; version <= WRITES; version++) {
            String key = "mt/progress/" + random.nextInt(KEYS);
            last.put(key, version);
            checks.add(put(commits, store, key, version));
            Thread.sleep(random.nextInt(30));
        }
        CompletableFuture.allOf(checks.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
        store.carryOutDelayed();
        for (Map.Entry<String, Integer> written : last.entrySet()) {
            assertThat(version(store, written.getKey())).isEqualTo(written.getValue());
        }
    }

    /** Writes a version; completes once it is stored, and fails if the store has an older one. */
    private CompletableFuture<Void> put(
            GroupCommit commits, UnreliableStore store, String key, int version) {
        CompletableFuture<Void> checked = new CompletableFuture<>();
        mControl.execute(
                () ->
                        commits.put(key, ByteString.copyFromUtf8(Integer.toString(version)))
                                .whenComplete(
                                        (done, failure) -> {
                                            if (version(store, key) >= version) {
                                                checked.complete(null);
                                            } else {
                                                checked.completeExceptionally(
                                                        new AssertionError(
                                                                key
                                                                        + " holds "
                                                                        + version(store, key)
                                                                        + " after "
                                                                        + version));
                                            }
                                        }));
        return checked;
    }

    @Example
    void nothingIsWrittenUnderANewerTerm() throws Exception {
        UnreliableStore store = new UnreliableStore(7);
        store.mStore.put(StoreLayout.OWNER_TERM, ByteString.copyFromUtf8("1"), 0);
        long term = store.mStore.value(StoreLayout.OWNER_TERM).orElseThrow().modRevision();
        CompletableFuture<Void> fenced = new CompletableFuture<>();
        GroupCommit commits = commits(store, term, () -> fenced.complete(null));
        store.mStore.put(StoreLayout.OWNER_TERM, ByteString.copyFromUtf8("2"), 0);
        mControl.execute(() -> commits.put("mt/job/a", ByteString.copyFromUtf8("1")));
        fenced.get(60, TimeUnit.SECONDS);
        store.carryOutDelayed();
        assertThat(store.mStore.value("mt/job/a")).isEmpty();
    }

    /** Guards against ends that stay unconfirmed while their job's progress changes. */
    @Example
    void recordThatChangesAgainKeepsItsPlace() throws Exception {
        MemoryStore store = new MemoryStore();
        GroupCommit commits =
                new GroupCommit(store, mControl, Clocks.system(), store.writeTerm(), () -> {});
        CompletableFuture<Void> all = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    commits.put("mt/progress/first", ByteString.copyFromUtf8("1"));
                    for (int i = 0; i < 60; i++) {
                        commits.put("mt/progress/later" + i, ByteString.copyFromUtf8("1"));
                    }
                    commits.put("mt/progress/first", ByteString.copyFromUtf8("2"));
                    commits.flush().whenComplete((done, failure) -> all.complete(null));
                });
        all.get(60, TimeUnit.SECONDS);
        long first = store.value("mt/progress/first").orElseThrow().modRevision();
        long last = store.value("mt/progress/later59").orElseThrow().modRevision();
        assertThat(first).isLessThan(last);
        assertThat(store.value("mt/progress/first").orElseThrow().value().toStringUtf8())
                .isEqualTo("2");
    }

    @Example
    void deletedRecordStaysDeletedAlsoWhenResponsesAreLost() throws Exception {
        for (int seed = 0; seed < 6; seed++) {
            UnreliableStore store = new UnreliableStore(seed);
            store.mStore.put(StoreLayout.OWNER_TERM, ByteString.copyFromUtf8("1"), 0);
            long term = store.mStore.value(StoreLayout.OWNER_TERM).orElseThrow().modRevision();
            GroupCommit commits = commits(store, term, () -> {});
            CompletableFuture<Void> deleted = new CompletableFuture<>();
            put(commits, store, "mt/job/a", 1).get(60, TimeUnit.SECONDS);
            mControl.execute(
                    () -> commits.delete("mt/job/a").thenRun(() -> deleted.complete(null)));
            deleted.get(60, TimeUnit.SECONDS);
            store.carryOutDelayed();
            assertThat(store.mStore.value("mt/job/a")).isEmpty();
        }
    }

    private GroupCommit commits(UnreliableStore store, long termRevision, Runnable onFenced) {
        MemoryStore unreliable =
                new MemoryStore() {
                    @Override
                    public synchronized CompletableFuture<CommitResult> commit(
                            List<Compare> conditions,
                            List<Operation.Put> puts,
                            List<Operation.Delete> deletes) {
                        return store.commit(conditions, puts, deletes);
                    }
                };
        return new GroupCommit(unreliable, mControl, Clocks.system(), termRevision, onFenced);
    }

    private static int version(UnreliableStore store, String key) {
        return store.mStore
                .value(key)
                .map(value -> Integer.parseInt(value.value().toStringUtf8()))
                .orElse(0);
    }
}
