package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoreOutcomeUnknownException;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;
import org.marigoldturn.store.TransactionResult;

/**
 * Commits one change: applies it to the newest state, checks and writes the result, and tries again
 * if another change was committed in between.
 *
 * <p>Every transaction on which a result depends requires that the manifest still has the revision
 * that was read and that the change id is absent, so a repeated or late transaction has no second
 * effect. Reads may return old values; a conflict or an invalid result is therefore reported only
 * after a conditional write has proved that it was found on the newest state. Thread safe.
 */
final class ChangeCommitter {
    /** An attempt fails only if another change was committed, so this just bounds a livelock. */
    private static final int MAX_ATTEMPTS = 50;

    /** The state as read, perhaps not the newest, and the version that already holds the change. */
    private record Observed(LoadedState loaded, Optional<Long> committedVersion) {}

    /** An attempt to commit; {@code firstVersion} is the version that the first attempt read. */
    private record Attempt(
            StateChange change, long nowMillis, long firstVersion, int earlierAttempts) {
        Attempt next() {
            return new Attempt(change, nowMillis, firstVersion, earlierAttempts + 1);
        }
    }

    private final TransactionExecutor mTransactions;
    private final StoreKeys mKeys;
    private final BlobStore mBlobs;
    private final StateReader mReader;
    private final VersionHistory mHistory;

    ChangeCommitter(
            TransactionExecutor transactions,
            StoreKeys keys,
            BlobStore blobs,
            StateReader reader,
            VersionHistory history) {
        mTransactions = transactions;
        mKeys = keys;
        mBlobs = blobs;
        mReader = reader;
        mHistory = history;
    }

    CompletableFuture<ChangeResult> commit(StateChange change, long nowMillis) {
        return mTransactions
                .execute(Transaction.unconditional(observation(change)))
                .thenCompose(this::readObserved)
                .thenCompose(
                        observed -> {
                            long first = observed.loaded().state().version();
                            return decide(new Attempt(change, nowMillis, first, 0), observed);
                        })
                .exceptionallyCompose(failure -> notCommitted(change, failure));
    }

    private static CompletableFuture<ChangeResult> notCommitted(
            StateChange change, Throwable failure) {
        Throwable cause = TransactionExecutor.unwrap(failure);
        if (cause instanceof SettingsException) {
            return CompletableFuture.failedFuture(cause);
        }
        return CompletableFuture.failedFuture(
                new ChangeNotCommittedException(
                        "this attempt did not commit change "
                                + change.changeId()
                                + ": "
                                + cause.getMessage(),
                        cause));
    }

    private CompletableFuture<ChangeResult> decide(Attempt attempt, Observed observed) {
        if (observed.committedVersion().isPresent()) {
            return mHistory.state(observed.committedVersion().get())
                    .thenApply(ChangeResult.Committed::new);
        }
        if (attempt.earlierAttempts() >= MAX_ATTEMPTS) {
            throw new ChangeNotCommittedException(
                    "change "
                            + attempt.change().changeId()
                            + " was not committed in "
                            + MAX_ATTEMPTS
                            + " attempts, because other changes were committed; send it again",
                    null);
        }
        LoadedState base = observed.loaded();
        return findConflict(attempt, base.state())
                .thenCompose(conflict -> apply(attempt, base, conflict));
    }

    private CompletableFuture<ChangeResult> apply(
            Attempt attempt, LoadedState base, Optional<ChangeResult> conflict) {
        if (conflict.isPresent()) {
            return confirmNewest(attempt, base, conflict.get());
        }
        Either<List<SettingsError>, StateChange.Content> content =
                attempt.change().update().apply(base.state());
        return content.isLeft()
                ? confirmNewest(attempt, base, new ChangeResult.Invalid(content.getLeft()))
                : write(attempt, base, content.get());
    }

    private CompletableFuture<Optional<ChangeResult>> findConflict(
            Attempt attempt, VersionedState base) {
        StateChange change = attempt.change();
        boolean anyVersion = change.baseVersion() == SettingsChange.ANY_VERSION;
        long expected = anyVersion ? attempt.firstVersion() : change.baseVersion();
        if (base.version() == expected) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (base.version() < expected) {
            SettingsError error =
                    new SettingsError(
                            "",
                            0,
                            "base version %d is above the newest version %d"
                                    .formatted(expected, base.version()));
            return CompletableFuture.completedFuture(
                    Optional.of(new ChangeResult.Invalid(List.of(error))));
        }
        return mHistory.findNewestConflict(expected, base.version(), change.paths())
                .thenApply(
                        winner -> {
                            if (winner.isPresent() || anyVersion) {
                                return winner.map(w -> (ChangeResult) w);
                            }
                            String path = change.paths().isEmpty() ? "" : change.paths().get(0);
                            return Optional.of(new ChangeResult.Conflict(base.manifest(), path));
                        });
    }

    /** Returns the result if a write proves that {@code base} is the newest, else tries again. */
    private CompletableFuture<ChangeResult> confirmNewest(
            Attempt attempt, LoadedState base, ChangeResult outcome) {
        ByteString value = ByteString.copyFromUtf8(attempt.change().changeId());
        Transaction fence =
                onlyIfNewest(
                        attempt.change(), base, List.of(new Operation.Put(mKeys.fence(), value)));
        return mTransactions
                .execute(fence)
                .thenCompose(
                        result ->
                                result.succeeded()
                                        ? CompletableFuture.completedFuture(outcome)
                                        : retry(attempt, result));
    }

    private CompletableFuture<ChangeResult> write(
            Attempt attempt, LoadedState base, StateChange.Content content) {
        long version = base.state().version() + 1;
        VersionedState before = base.state();
        RightsDivision rights =
                RightsMinting.apply(
                        content.system().rights(),
                        content.system().members(),
                        content.settings(),
                        version);
        Map<String, byte[]> contents =
                StateCodec.encode(content.settings(), content.system().members(), rights);
        Map<String, String> entries = new TreeMap<>();
        Map<String, byte[]> byHash = new HashMap<>();
        contents.forEach(
                (path, bytes) -> {
                    String hash = ContentHash.of(bytes);
                    entries.put(path, hash);
                    byHash.put(hash, bytes);
                });
        Manifest manifest =
                new Manifest(
                        version,
                        attempt.change().changeId(),
                        attempt.change().author(),
                        attempt.nowMillis(),
                        entries);
        VersionedState next =
                new VersionedState(
                        manifest, content.settings(), content.system().members(), rights);
        // Only contents of the base are skipped. A content that only an earlier version has is
        // written again, because the clean-up may delete it unless it was written after the base.
        Map<String, byte[]> newContents = new HashMap<>(byHash);
        newContents.keySet().removeAll(before.manifest().entries().values());
        return mBlobs.write(newContents)
                .thenCompose(done -> commitManifest(attempt, base, next, byHash));
    }

    private CompletableFuture<ChangeResult> commitManifest(
            Attempt attempt, LoadedState base, VersionedState next, Map<String, byte[]> contents) {
        Manifest manifest = next.manifest();
        HistoryEntry history = HistoryEntry.of(base.state(), next, attempt.change().paths());
        Transaction transaction =
                onlyIfNewest(
                        attempt.change(),
                        base,
                        List.of(
                                put(mKeys.manifest(), StateCodec.encodeManifest(manifest)),
                                put(
                                        mKeys.history(manifest.version()),
                                        StateCodec.encodeHistory(history)),
                                put(
                                        mKeys.change(manifest.changeId()),
                                        Long.toString(manifest.version())
                                                .getBytes(StandardCharsets.UTF_8))));
        return mTransactions
                .execute(transaction)
                .exceptionallyCompose(failure -> manifestFailure(attempt.change(), failure))
                .thenCompose(
                        result -> {
                            if (!result.succeeded()) {
                                return retry(attempt, result);
                            }
                            LoadedState loaded =
                                    new LoadedState(next, Map.copyOf(contents), result.revision());
                            mReader.recordIfNewer(loaded);
                            return CompletableFuture.completedFuture(
                                    new ChangeResult.Committed(loaded));
                        });
    }

    private static CompletionStage<TransactionResult> manifestFailure(
            StateChange change, Throwable failure) {
        Throwable cause = TransactionExecutor.unwrap(failure);
        if (cause instanceof StoreOutcomeUnknownException) {
            cause =
                    new ChangeOutcomeUnknownException(
                            "outcome of change "
                                    + change.changeId()
                                    + " is unknown; send it again with the same change id",
                            cause);
        }
        return CompletableFuture.failedFuture(cause);
    }

    private CompletableFuture<ChangeResult> retry(Attempt attempt, TransactionResult result) {
        return readObserved(result).thenCompose(observed -> decide(attempt.next(), observed));
    }

    private Transaction onlyIfNewest(
            StateChange change, LoadedState base, List<Operation> operations) {
        return new Transaction(
                List.of(
                        new Compare(mKeys.manifest(), base.manifestRevision()),
                        Compare.absent(mKeys.change(change.changeId()))),
                operations,
                observation(change));
    }

    private List<Operation> observation(StateChange change) {
        return List.of(
                new Operation.Read(mKeys.manifest()),
                new Operation.Read(mKeys.change(change.changeId())));
    }

    private CompletableFuture<Observed> readObserved(TransactionResult result) {
        Optional<Long> committed =
                result.reads().get(1).stream().findFirst().map(ChangeCommitter::version);
        return mReader.newest(result.reads().get(0), Map.of())
                .thenApply(loaded -> new Observed(loaded, committed));
    }

    private static long version(StoredValue value) {
        return Long.parseLong(value.value().toStringUtf8());
    }

    private static Operation put(String key, byte[] value) {
        return new Operation.Put(key, ByteString.copyFrom(value));
    }
}
