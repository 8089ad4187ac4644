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
 * Commits one change: applies it to the newest state, checks, writes, and repeats after lost races.
 *
 * <p>Every transaction that decides something compares the manifest's revision and the absence of
 * the change id, so a repeated or late transaction has no second effect. A conflict and an invalid
 * result are reported only after a write has proved that the state they were decided on was the
 * newest, since reads may return old values. Thread safe.
 */
final class ChangeCommitter {
    /** Each lost race means that another change was committed, so this bounds a livelock only. */
    private static final int MAX_RACES = 50;

    /** The newest state and whether the change has already been committed. */
    private record Observed(LoadedState loaded, Optional<Long> committedVersion) {}

    /** One run of a change; {@code firstVersion} is the version that the run saw first. */
    private record Run(StateChange change, long nowMillis, long firstVersion, int races) {
        Run afterRace() {
            return new Run(change, nowMillis, firstVersion, races + 1);
        }
    }

    private final StoreCalls mCalls;
    private final StoreKeys mKeys;
    private final BlobStore mBlobs;
    private final StateReader mReader;
    private final SettingsHistory mHistory;

    ChangeCommitter(
            StoreCalls calls,
            StoreKeys keys,
            BlobStore blobs,
            StateReader reader,
            SettingsHistory history) {
        mCalls = calls;
        mKeys = keys;
        mBlobs = blobs;
        mReader = reader;
        mHistory = history;
    }

    CompletableFuture<ChangeResult> commit(StateChange change, long nowMillis) {
        return mCalls.repeat(Transaction.unconditional(observation(change)))
                .thenCompose(this::observe)
                .thenCompose(
                        observed -> {
                            long first = observed.loaded().state().version();
                            return step(new Run(change, nowMillis, first, 0), observed);
                        })
                .exceptionallyCompose(failure -> failed(change, failure));
    }

    private static CompletableFuture<ChangeResult> failed(StateChange change, Throwable failure) {
        Throwable cause = StoreCalls.unwrap(failure);
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

    private CompletableFuture<ChangeResult> step(Run run, Observed observed) {
        if (observed.committedVersion().isPresent()) {
            return mHistory.state(observed.committedVersion().get())
                    .thenApply(ChangeResult.Committed::new);
        }
        if (run.races() >= MAX_RACES) {
            throw new ChangeNotCommittedException(
                    "change "
                            + run.change().changeId()
                            + " lost "
                            + MAX_RACES
                            + " races against other changes",
                    null);
        }
        LoadedState base = observed.loaded();
        return findConflict(run, base.state()).thenCompose(conflict -> decide(run, base, conflict));
    }

    private CompletableFuture<ChangeResult> decide(
            Run run, LoadedState base, Optional<ChangeResult> conflict) {
        if (conflict.isPresent()) {
            return prove(run, base, conflict.get());
        }
        Either<List<SettingsError>, StateChange.Content> content =
                run.change().step().apply(base.state());
        return content.isLeft()
                ? prove(run, base, new ChangeResult.Invalid(content.getLeft()))
                : write(run, base, content.get());
    }

    private CompletableFuture<Optional<ChangeResult>> findConflict(Run run, VersionedState base) {
        StateChange change = run.change();
        boolean anyVersion = change.baseVersion() == SettingsChange.ANY_VERSION;
        long expected = anyVersion ? run.firstVersion() : change.baseVersion();
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
        return mHistory.lastTouching(expected, base.version(), change.paths())
                .thenApply(
                        winner -> {
                            if (winner.isPresent() || anyVersion) {
                                return winner.map(w -> (ChangeResult) w);
                            }
                            String path = change.paths().isEmpty() ? "" : change.paths().get(0);
                            return Optional.of(new ChangeResult.Conflict(base.manifest(), path));
                        });
    }

    /** Returns the verdict if {@code base} is still the newest state, else decides again. */
    private CompletableFuture<ChangeResult> prove(Run run, LoadedState base, ChangeResult verdict) {
        ByteString value = ByteString.copyFromUtf8(run.change().changeId());
        Transaction fence =
                guarded(run.change(), base, List.of(new Operation.Put(mKeys.fence(), value)));
        return mCalls.repeat(fence)
                .thenCompose(
                        result ->
                                result.succeeded()
                                        ? CompletableFuture.completedFuture(verdict)
                                        : again(run, result));
    }

    private CompletableFuture<ChangeResult> write(
            Run run, LoadedState base, StateChange.Content content) {
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
                        run.change().changeId(),
                        run.change().author(),
                        run.nowMillis(),
                        entries);
        VersionedState next =
                new VersionedState(
                        manifest, content.settings(), content.system().members(), rights);
        // Only contents of the base are skipped. Every other content is written again even if an
        // earlier version had it, because the clean-up spares what was written after the base.
        Map<String, byte[]> fresh = new HashMap<>(byHash);
        fresh.keySet().removeAll(before.manifest().entries().values());
        return mBlobs.write(fresh).thenCompose(done -> commitManifest(run, base, next, byHash));
    }

    private CompletableFuture<ChangeResult> commitManifest(
            Run run, LoadedState base, VersionedState next, Map<String, byte[]> contents) {
        Manifest manifest = next.manifest();
        HistoryEntry history = HistoryEntry.of(base.state(), next, run.change().paths());
        Transaction transaction =
                guarded(
                        run.change(),
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
        return mCalls.repeat(transaction)
                .exceptionallyCompose(failure -> unknown(run.change(), failure))
                .thenCompose(
                        result -> {
                            if (!result.succeeded()) {
                                return again(run, result);
                            }
                            LoadedState loaded =
                                    new LoadedState(next, Map.copyOf(contents), result.revision());
                            mReader.offer(loaded);
                            return CompletableFuture.completedFuture(
                                    new ChangeResult.Committed(loaded));
                        });
    }

    private static CompletionStage<TransactionResult> unknown(
            StateChange change, Throwable failure) {
        Throwable cause = StoreCalls.unwrap(failure);
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

    private CompletableFuture<ChangeResult> again(Run run, TransactionResult result) {
        return observe(result).thenCompose(observed -> step(run.afterRace(), observed));
    }

    private Transaction guarded(StateChange change, LoadedState base, List<Operation> operations) {
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

    private CompletableFuture<Observed> observe(TransactionResult result) {
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
