package org.marigoldturn.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;

/** Guards against a listener's failure for one key that ends the following of all others. */
class PrefixMirrorTest implements PrefixMirror.Listener {
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<String> mSeen = new ArrayList<>();
    private final PrefixMirror mMirror =
            new PrefixMirror(
                    mStore,
                    "p/",
                    new PrefixMirror.Options(10, 0, 10),
                    this,
                    Runnable::run,
                    (delayMillis, task) -> task.run(),
                    () -> 0);

    @Example
    void keysAfterOneThatFailsAreFollowed() {
        mStore.mPage = List.of(value("p/bad", 1), value("p/a", 2));
        mMirror.start();
        mStore.change(new MetadataStore.Change(value("p/bad", 3), false));
        mStore.change(new MetadataStore.Change(value("p/b", 4), false));
        mStore.change(new MetadataStore.Change(value("p/bad", 5), true));
        mStore.change(new MetadataStore.Change(value("p/a", 6), true));
        assertThat(mSeen).containsExactly("p/a", "up", "up", "p/b", "up", "up", "-p/a", "up");
    }

    @Example
    void failedKeyIsReportedAgainOnceItChanges() {
        mStore.mPage = List.of(value("p/bad", 1));
        mMirror.start();
        mFails = false;
        mStore.change(new MetadataStore.Change(value("p/bad", 2), false));
        assertThat(mSeen).containsExactly("up", "p/bad", "up");
    }

    private boolean mFails = true;

    @Override
    public void onValue(StoredValue value) {
        failFor(value.key());
        mSeen.add(value.key());
    }

    @Override
    public void onRemoved(String key) {
        failFor(key);
        mSeen.add("-" + key);
    }

    @Override
    public void onUpToDate() {
        mSeen.add("up");
    }

    @Override
    public void onInterrupted(Throwable cause) {
        throw new IllegalStateException("no call fails", cause);
    }

    private void failFor(String key) {
        if (mFails && key.equals("p/bad")) {
            throw new IllegalArgumentException("cannot handle " + key);
        }
    }

    private static StoredValue value(String key, long revision) {
        return new StoredValue(key, ByteString.EMPTY, 1, revision);
    }

    /** Answers one listing at once and each watch when a change is made. */
    private static final class ScriptedStore implements MetadataStore {
        private final Deque<CompletableFuture<Changes>> mWatches = new ArrayDeque<>();
        private List<StoredValue> mPage = List.of();

        void change(Change change) {
            mWatches.remove().complete(new Changes(List.of(change), change.value().modRevision()));
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> read(String key) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Page> list(String prefix, String afterKey) {
            return CompletableFuture.completedFuture(new Page(mPage, false, 2));
        }

        @Override
        public CompletableFuture<Changes> watch(
                String prefix, long afterRevision, long waitMillis) {
            CompletableFuture<Changes> watch = new CompletableFuture<>();
            mWatches.add(watch);
            return watch;
        }

        @Override
        public CompletableFuture<CommitResult> commit(
                List<Compare> conditions,
                List<Operation.Put> puts,
                List<Operation.Delete> deletes) {
            throw new IllegalStateException("a mirror writes nothing");
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            throw new IllegalStateException("a mirror holds no lease");
        }

        @Override
        public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
            throw new IllegalStateException("a mirror holds no lease");
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            throw new IllegalStateException("a mirror holds no lease");
        }
    }
}
