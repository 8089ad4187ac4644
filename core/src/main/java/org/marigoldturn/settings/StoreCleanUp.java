package org.marigoldturn.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;

/**
 * Deletes history entries, change ids and contents that no kept version needs. Thread safe.
 *
 * <p>A commit reads its base, then writes its contents, then its manifest. A content is therefore
 * deleted only if no kept version refers to it and it was last written before the newest manifest:
 * a commit based on that manifest writes its contents later, and a commit based on an older one
 * fails. Each delete compares the content's revision, so a content that was written again is kept.
 */
final class StoreCleanUp {
    /** Versions whose history, change id and contents are kept. */
    static final int KEPT_VERSIONS = 1_000;

    /** Versions in a transaction, which deletes a history entry and a change id for each. */
    private static final int VERSIONS_PER_TRANSACTION = BlobStore.MAX_OPERATIONS / 2;

    private static final String HEX_DIGITS = "0123456789abcdef";

    private final TransactionExecutor mTransactions;
    private final StoreKeys mKeys;
    private final VersionHistory mHistory;

    StoreCleanUp(TransactionExecutor transactions, StoreKeys keys, VersionHistory history) {
        mTransactions = transactions;
        mKeys = keys;
        mHistory = history;
    }

    /** Deletes what {@code newest} makes obsolete; returns the number of versions and contents. */
    CompletableFuture<Integer> run(LoadedState newest) {
        long version = newest.state().version();
        return deleteHistory(version - KEPT_VERSIONS)
                .thenCompose(
                        deleted ->
                                referencedHashes(newest)
                                        .thenCompose(
                                                kept ->
                                                        deleteBlobs(
                                                                0, kept, newest.manifestRevision()))
                                        .thenApply(blobs -> deleted + blobs));
    }

    private CompletableFuture<Integer> deleteHistory(long last) {
        List<List<HistoryEntry>> batches = new ArrayList<>();
        return collectOld(last, batches).thenCompose(done -> deleteBatches(batches));
    }

    /** Collects the entries from version {@code last} downwards until a batch is empty. */
    private CompletableFuture<Void> collectOld(long last, List<List<HistoryEntry>> batches) {
        if (last < 1) {
            return CompletableFuture.completedFuture(null);
        }
        long from = Math.max(1, last - VERSIONS_PER_TRANSACTION + 1);
        return mHistory.entries(from, (int) (last - from + 1))
                .thenCompose(
                        entries -> {
                            if (entries.isEmpty()) {
                                return CompletableFuture.completedFuture(null);
                            }
                            batches.add(entries);
                            return collectOld(from - 1, batches);
                        });
    }

    /** Deletes the oldest versions first, so that an interrupted clean-up leaves no gap. */
    private CompletableFuture<Integer> deleteBatches(List<List<HistoryEntry>> batches) {
        CompletableFuture<Integer> done = CompletableFuture.completedFuture(0);
        for (int i = batches.size() - 1; i >= 0; i--) {
            List<HistoryEntry> batch = batches.get(i);
            List<Operation> deletes = new ArrayList<>();
            for (HistoryEntry entry : batch) {
                deletes.add(new Operation.Delete(mKeys.history(entry.manifest().version())));
                deletes.add(new Operation.Delete(mKeys.change(entry.manifest().changeId())));
            }
            done =
                    done.thenCompose(
                            count ->
                                    mTransactions
                                            .execute(Transaction.unconditional(deletes))
                                            .thenApply(result -> count + batch.size()));
        }
        return done;
    }

    private CompletableFuture<Set<String>> referencedHashes(LoadedState newest) {
        long version = newest.state().version();
        long from = Math.max(1, version - KEPT_VERSIONS + 1);
        int count = (int) (version - from + 1);
        return mHistory.entries(from, count)
                .thenApply(
                        entries -> {
                            if (entries.size() != count) {
                                throw new SettingsException(
                                        ("clean-up deletes no contents: found only %d of %d history"
                                                        + " entries up to version %d")
                                                .formatted(entries.size(), count, version),
                                        null);
                            }
                            Set<String> hashes =
                                    new HashSet<>(newest.state().manifest().entries().values());
                            entries.forEach(e -> hashes.addAll(e.manifest().entries().values()));
                            return hashes;
                        });
    }

    private CompletableFuture<Integer> deleteBlobs(int digit, Set<String> kept, long revision) {
        if (digit >= HEX_DIGITS.length()) {
            return CompletableFuture.completedFuture(0);
        }
        String prefix = mKeys.blob(HEX_DIGITS.substring(digit, digit + 1));
        Operation read = new Operation.ReadPrefix(prefix);
        return mTransactions
                .execute(Transaction.unconditional(List.of(read)))
                .thenCompose(
                        result -> {
                            List<StoredValue> unused =
                                    result.reads().get(0).stream()
                                            .filter(v -> v.modRevision() < revision)
                                            .filter(v -> !kept.contains(hash(v)))
                                            .toList();
                            return deleteUnchanged(unused, 0);
                        })
                .thenCompose(
                        count ->
                                deleteBlobs(digit + 1, kept, revision)
                                        .thenApply(more -> count + more));
    }

    private String hash(StoredValue value) {
        return value.key().substring(mKeys.blob("").length());
    }

    private CompletableFuture<Integer> deleteUnchanged(List<StoredValue> values, int from) {
        if (from >= values.size()) {
            return CompletableFuture.completedFuture(0);
        }
        List<StoredValue> batch =
                values.subList(from, Math.min(values.size(), from + BlobStore.MAX_OPERATIONS));
        List<Compare> compares =
                batch.stream().map(v -> new Compare(v.key(), v.modRevision())).toList();
        List<Operation> deletes =
                batch.stream().map(v -> (Operation) new Operation.Delete(v.key())).toList();
        return mTransactions
                .execute(new Transaction(compares, deletes, List.of()))
                .thenCompose(
                        result ->
                                deleteUnchanged(values, from + batch.size())
                                        .thenApply(
                                                more ->
                                                        more
                                                                + (result.succeeded()
                                                                        ? batch.size()
                                                                        : 0)));
    }
}
