package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.platform.StoredValue;
import org.marigoldturn.platform.Transaction;
import org.marigoldturn.platform.TransactionResult;

/**
 * Confirms that a held state is the newest one.
 *
 * <p>The confirmation is a conditional write, since a read may be answered by a lagging replica.
 * Each transaction is sent once: a repeated one would be newer than the time from which the caller
 * counts, which is harmless, but would delay the caller's next attempt. Thread safe.
 */
final class StoreConfirmation {
    private final StoreCalls mCalls;
    private final StoreKeys mKeys;
    private final StateReader mReader;

    StoreConfirmation(StoreCalls calls, StoreKeys keys, StateReader reader) {
        mCalls = calls;
        mKeys = keys;
        mReader = reader;
    }

    CompletableFuture<ConfirmResult> confirm(String daemonId, LoadedState held, long leaseId) {
        return send(daemonId, held, leaseId)
                .thenCompose(
                        result -> {
                            if (result.succeeded()) {
                                return confirmed(held);
                            }
                            List<StoredValue> found = result.reads().get(0);
                            return isHeld(held, found)
                                    ? again(daemonId, held, leaseId, found.get(0).modRevision())
                                    : newer(held, found);
                        });
    }

    private CompletableFuture<ConfirmResult> again(
            String daemonId, LoadedState held, long leaseId, long revision) {
        LoadedState located = new LoadedState(held.state(), held.contents(), revision);
        return send(daemonId, located, leaseId)
                .thenCompose(
                        result ->
                                result.succeeded()
                                        ? confirmed(located)
                                        : newer(located, result.reads().get(0)));
    }

    private CompletableFuture<TransactionResult> send(
            String daemonId, LoadedState held, long leaseId) {
        ByteString version = ByteString.copyFromUtf8(Long.toString(held.state().version()));
        return mCalls.once(
                new Transaction(
                        List.of(new Compare(mKeys.manifest(), held.manifestRevision())),
                        List.of(new Operation.Put(mKeys.confirmation(daemonId), version, leaseId)),
                        List.of(new Operation.Read(mKeys.manifest()))));
    }

    private static boolean isHeld(LoadedState held, List<StoredValue> found) {
        return !found.isEmpty()
                && found.get(0).modRevision() != held.manifestRevision()
                && StateCodec.decodeManifest(found.get(0).value().toByteArray())
                        .equals(held.state().manifest());
    }

    private static CompletableFuture<ConfirmResult> confirmed(LoadedState held) {
        return CompletableFuture.completedFuture(new ConfirmResult.Confirmed(held));
    }

    private CompletableFuture<ConfirmResult> newer(LoadedState held, List<StoredValue> found) {
        return mReader.newest(found, held.contents())
                .thenApply(
                        newest -> {
                            if (newest.state().version() <= held.state().version()) {
                                throw new SettingsException(
                                        "store did not confirm version "
                                                + held.state().version()
                                                + " and returned no newer one",
                                        null);
                            }
                            return new ConfirmResult.Newer(newest);
                        });
    }
}
