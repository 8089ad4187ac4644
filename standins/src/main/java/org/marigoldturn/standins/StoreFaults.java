package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults that the store stand-in injects, set through {@code /standin/faults}.
 *
 * <p>{@code down}: connections are closed at once. {@code silent}: connections that are open now
 * never deliver data again. {@code delayMillis}: each call takes effect that much later. {@code
 * loseAnswers}: the next that many writes take effect, but their responses are dropped. {@code
 * staleReadsMillis}: for that time, transactions that only read see the content that the store had
 * when the fault was set. Thread safe.
 */
final class StoreFaults {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> FIELDS =
            Set.of("down", "silent", "delayMillis", "loseAnswers", "staleReadsMillis");

    private final ConnectionFaults mConnections;
    private final AtomicInteger mResponsesToDrop = new AtomicInteger();
    private volatile long mDelayMillis;
    private volatile long mStaleUntilMillis;

    StoreFaults(ConnectionFaults connections) {
        mConnections = connections;
    }

    /** Applies the fields that are present and returns the faults in force. */
    ObjectNode apply(JsonNode body, long nowMillis) {
        for (Map.Entry<String, JsonNode> field : body.properties()) {
            if (!FIELDS.contains(field.getKey())) {
                throw new IllegalArgumentException(
                        "unknown fault \""
                                + field.getKey()
                                + "\"; expected one of "
                                + new TreeSet<>(FIELDS));
            }
        }
        mDelayMillis = body.path("delayMillis").asLong(mDelayMillis);
        mResponsesToDrop.set(body.path("loseAnswers").asInt(mResponsesToDrop.get()));
        if (body.has("staleReadsMillis")) {
            mStaleUntilMillis = nowMillis + body.path("staleReadsMillis").asLong();
        }
        if (body.path("silent").asBoolean()) {
            mConnections.silenceOpenConnections();
        }
        if (body.has("down")) {
            mConnections.setDown(body.path("down").asBoolean());
        }
        return JSON.createObjectNode()
                .put("down", mConnections.isDown())
                .put("delayMillis", mDelayMillis)
                .put("loseAnswers", mResponsesToDrop.get())
                .put("staleReadsMillis", Math.max(0, mStaleUntilMillis - nowMillis));
    }

    long delayMillis() {
        return mDelayMillis;
    }

    boolean readsAreStale(long nowMillis) {
        return nowMillis < mStaleUntilMillis;
    }

    /** Returns whether the response to the current write must be dropped; counts down if so. */
    boolean consumeResponseDrop() {
        return mResponsesToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
