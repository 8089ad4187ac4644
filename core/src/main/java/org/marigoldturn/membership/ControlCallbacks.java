package org.marigoldturn.membership;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/** Passes results of asynchronous calls to the control thread. */
final class ControlCallbacks {
    private ControlCallbacks() {}

    /**
     * Runs the action on the control thread with the result or the failure; one of them is null.
     *
     * <p>An exception thrown by the action is logged, since no caller waits for it.
     */
    static <T> void whenDone(
            CompletableFuture<T> future,
            Executor control,
            BiConsumer<? super T, ? super Throwable> action) {
        CompletableFuture<?> unused =
                future.whenCompleteAsync(
                        (result, failure) -> run(action, result, failure), control);
    }

    private static <T> void run(
            BiConsumer<? super T, ? super Throwable> action, T result, Throwable failure) {
        try {
            action.accept(result, failure);
        } catch (RuntimeException e) {
            Logger.error(e, "membership: a callback failed; continuing without its result");
        }
    }
}
