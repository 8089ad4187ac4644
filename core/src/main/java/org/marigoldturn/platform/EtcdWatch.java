package org.marigoldturn.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Reads the newline-delimited JSON messages of one watch.
 *
 * <p>Called by one event loop thread; {@link #cancel} may be called from any thread.
 */
final class EtcdWatch implements Subscriber<HttpObject>, KeyValueStore.Watch {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String mKey;
    private final KeyValueStore.WatchListener mListener;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private volatile Subscription mSubscription;
    private volatile boolean mCancelled;

    EtcdWatch(String key, KeyValueStore.WatchListener listener) {
        mKey = key;
        mListener = listener;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        if (mCancelled) {
            subscription.cancel();
            return;
        }
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject object) {
        if (mCancelled || !(object instanceof HttpData data)) {
            return;
        }
        for (byte b : data.array()) {
            if (b == '\n') {
                deliverLine();
            } else {
                mLine.write(b);
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
        mCancelled = true;
        Subscription subscription = mSubscription;
        if (subscription != null) {
            subscription.cancel();
        }
    }

    private void deliverLine() {
        byte[] line = mLine.toByteArray();
        mLine.reset();
        if (line.length == 0) {
            return;
        }
        try {
            for (JsonNode event : JSON.readTree(line).path("result").path("events")) {
                mListener.onValue(EtcdJson.decodeValue(event.path("kv")));
            }
        } catch (IOException e) {
            end(new StoreUnavailableException("watch of " + mKey + " sent invalid JSON", e));
        }
    }

    private void end(StoreException cause) {
        if (!mCancelled) {
            cancel();
            mListener.onEnd(cause);
        }
    }
}
