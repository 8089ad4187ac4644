package org.marigoldturn.standins.measure;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntFunction;

/**
 * Closed-loop load: clients that each send the next request when the previous one has ended. Thread
 * safe.
 *
 * <p>A client waits after a failed request, so that failures do not turn into a busy loop.
 */
final class ClosedLoad implements AutoCloseable {
    private static final long PAUSE_AFTER_FAILURE_MILLIS = 20;

    private final IntFunction<HttpResponse> mRequest;
    private final Executor mAfterPause;
    private final Executor mAfterFailure =
            CompletableFuture.delayedExecutor(PAUSE_AFTER_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
    private final LongAdder mSucceeded = new LongAdder();
    private final LongAdder mFailed = new LongAdder();
    private final Phaser mActive = new Phaser(1);
    private volatile boolean mStopped;

    /** Starts the clients; each waits {@code pauseMillis} between its requests. */
    ClosedLoad(int clients, long pauseMillis, IntFunction<HttpResponse> request) {
        mRequest = request;
        mAfterPause =
                pauseMillis == 0
                        ? Runnable::run
                        : CompletableFuture.delayedExecutor(pauseMillis, TimeUnit.MILLISECONDS);
        for (int client = 0; client < clients; client++) {
            mActive.register();
            sendNext(client);
        }
    }

    long succeeded() {
        return mSucceeded.sum();
    }

    long failed() {
        return mFailed.sum();
    }

    private void sendNext(int client) {
        if (mStopped) {
            mActive.arriveAndDeregister();
            return;
        }
        var unused =
                mRequest.apply(client)
                        .aggregate()
                        .whenComplete((response, failure) -> onEnded(client, response));
    }

    private void onEnded(int client, AggregatedHttpResponse response) {
        boolean ok = response != null && response.status().code() == 200;
        (ok ? mSucceeded : mFailed).increment();
        (ok ? mAfterPause : mAfterFailure).execute(() -> sendNext(client));
    }

    /** Sends no further requests and waits for the pending ones. */
    @Override
    public void close() {
        mStopped = true;
        mActive.arriveAndAwaitAdvance();
    }
}
