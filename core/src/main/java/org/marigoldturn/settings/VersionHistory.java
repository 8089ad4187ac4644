package org.marigoldturn.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;

/** Reads the history entries and states of earlier versions. Thread safe. */
final class VersionHistory {
    private final TransactionExecutor mTransactions;
    private final StoreKeys mKeys;
    private final StateReader mReader;

    VersionHistory(TransactionExecutor transactions, StoreKeys keys, StateReader reader) {
        mTransactions = transactions;
        mKeys = keys;
        mReader = reader;
    }

    /**
     * Returns the entries of {@code count} versions from {@code from}, in order, as far as kept.
     */
    CompletableFuture<List<HistoryEntry>> entries(long from, int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count must not be negative: " + count);
        }
        List<HistoryEntry> entries = new ArrayList<>();
        return collect(Math.max(1, from), from + count, entries).thenApply(done -> entries);
    }

    /** Reads the state of one version. */
    CompletableFuture<LoadedState> state(long version) {
        LoadedState newest = mReader.newestSeen();
        if (newest.state().version() == version) {
            return CompletableFuture.completedFuture(newest);
        }
        return mReader.historyValue(version)
                .thenCompose(
                        found -> {
                            StoredValue value =
                                    found.orElseThrow(
                                            () ->
                                                    new SettingsException(
                                                            "version "
                                                                    + version
                                                                    + " does not exist or was"
                                                                    + " deleted",
                                                            null));
                            Manifest manifest = decode(value).manifest();
                            return mReader.loadState(manifest, value.modRevision(), Map.of());
                        });
    }

    /**
     * Returns the newest change in the versions {@code (after, last]} to one of the paths.
     *
     * @param after version before the first one to check; only kept versions are read
     */
    CompletableFuture<Optional<ChangeResult.Conflict>> findNewestConflict(
            long after, long last, List<String> paths) {
        long from = Math.max(after, last - StoreCleanUp.KEPT_VERSIONS) + 1;
        return entries(from, (int) (last - from + 1))
                .thenApply(
                        entries -> {
                            Optional<ChangeResult.Conflict> newest = Optional.empty();
                            for (HistoryEntry entry : entries) {
                                Optional<String> path =
                                        SettingsPaths.firstOverlap(paths, entry.changedPaths());
                                if (path.isPresent()) {
                                    newest =
                                            Optional.of(
                                                    new ChangeResult.Conflict(
                                                            entry.manifest(), path.get()));
                                }
                            }
                            return newest;
                        });
    }

    static HistoryEntry decode(StoredValue value) {
        return StateCodec.decodeHistory(value.value().toByteArray());
    }

    private CompletableFuture<Void> collect(long from, long end, List<HistoryEntry> entries) {
        if (from >= end) {
            return CompletableFuture.completedFuture(null);
        }
        long to = Math.min(end, from + BlobStore.MAX_OPERATIONS);
        List<Operation> reads = new ArrayList<>();
        for (long version = from; version < to; version++) {
            reads.add(new Operation.Read(mKeys.history(version)));
        }
        return mTransactions
                .execute(Transaction.unconditional(reads))
                .thenCompose(
                        result -> {
                            result.reads().forEach(v -> v.forEach(e -> entries.add(decode(e))));
                            return collect(to, end, entries);
                        });
    }
}
