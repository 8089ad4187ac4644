package org.marigoldturn.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;

/**
 * Reads the newline-delimited JSON messages of one watch.
 *
 * <p>Called by one event loop thread; {@link #cancel} may be called from any thread, also by the
 * listener, and any number of times. The end is reported once. A connection that stays open but
 * delivers nothing is not detected here: the caller must compare the values with those that it
 * reads.
 */
final class EtcdWatch implements Subscriber<HttpObject>, KeyValueStore.Watch {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A value has at most one megabyte, and Base64 adds a third to its size. */
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final String mKey;
    private final KeyValueStore.WatchListener mListener;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private volatile Subscription mSubscription;
    private final AtomicBoolean mCancelled = new AtomicBoolean();

    EtcdWatch(String key, KeyValueStore.WatchListener listener) {
        mKey = key;
        mListener = listener;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        if (mCancelled.get()) {
            subscription.cancel();
            return;
        }
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject object) {
        if (object instanceof ResponseHeaders headers) {
            checkStatus(headers);
        } else if (object instanceof HttpData data) {
            read(data.array());
        }
    }

    private void checkStatus(ResponseHeaders headers) {
        if (!headers.status().isInformational() && !headers.status().equals(HttpStatus.OK)) {
            end(
                    new StoreUnavailableException(
                            "watch of " + mKey + " was rejected with " + headers.status(), null));
        }
    }

    private void read(byte[] bytes) {
        for (byte b : bytes) {
            if (mCancelled.get()) {
                return;
            }
            if (b == '\n') {
                deliverLine();
            } else if (mLine.size() < MAX_LINE_BYTES) {
                mLine.write(b);
            } else {
                end(
                        new StoreUnavailableException(
                                "watch of " + mKey + " sent more than 4 MiB in one line", null));
            }
        }
    }

    @Override
    public void onError(Throwable cause) {
        end(new StoreUnavailableException("watch of " + mKey + " failed", cause));
    }

    @Override
    public void onComplete() {
        end(new StoreUnavailableException("watch of " + mKey + " was closed by the store", null));
    }

    @Override
    public void cancel() {
        mCancelled.set(true);
        cancelSubscription();
    }

    private void deliverLine() {
        byte[] line = mLine.toByteArray();
        mLine.reset();
        if (line.length == 0) {
            return;
        }
        try {
            deliver(JSON.readTree(line).path("result"));
        } catch (IOException | IllegalArgumentException e) {
            end(new StoreUnavailableException("watch of " + mKey + " sent invalid JSON", e));
        }
    }

    private void deliver(JsonNode result) {
        if (result.path("canceled").asBoolean()) {
            String reason = result.path("cancel_reason").asText("no reason given");
            end(
                    new StoreUnavailableException(
                            "watch of " + mKey + " was cancelled by the store: " + reason, null));
            return;
        }
        for (JsonNode event : result.path("events")) {
            StoredValue value = EtcdJson.decodeValue(event.path("kv"));
            if (mCancelled.get()) {
                return;
            }
            notifyListener(value);
        }
    }

    /** Catches exceptions, because they would close a connection that other watches may share. */
    private void notifyListener(StoredValue value) {
        try {
            mListener.onValue(value);
        } catch (RuntimeException e) {
            Logger.error(
                    e, "store: listener of the watch of {} failed; the watch continues.", mKey);
        }
    }

    private void end(StoreException cause) {
        if (mCancelled.compareAndSet(false, true)) {
            cancelSubscription();
            mListener.onEnd(cause);
        }
    }

    private void cancelSubscription() {
        Subscription subscription = mSubscription;
        if (subscription != null) {
            subscription.cancel();
        }
    }
}
