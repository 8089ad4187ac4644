package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults of the store stand-in, set over {@code /standin/faults}.
 *
 * <p>{@code down}: connections are closed at once. {@code silent}: connections that are open now
 * never deliver data again. {@code delayMillis}: each call takes effect that much later. {@code
 * loseAnswers}: that many writes take effect without an answer. {@code staleReadsMillis}: for that
 * time, transactions that only read answer from the present content. Thread safe.
 */
final class StoreFaults {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> FIELDS =
            Set.of("down", "silent", "delayMillis", "loseAnswers", "staleReadsMillis");

    private final ConnectionFaults mConnections;
    private final AtomicInteger mLoseAnswers = new AtomicInteger();
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
                        "expected one of " + new TreeSet<>(FIELDS) + ": " + field.getKey());
            }
        }
        mDelayMillis = body.path("delayMillis").asLong(mDelayMillis);
        mLoseAnswers.set(body.path("loseAnswers").asInt(mLoseAnswers.get()));
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
                .put("loseAnswers", mLoseAnswers.get())
                .put("staleReadsMillis", Math.max(0, mStaleUntilMillis - nowMillis));
    }

    long delayMillis() {
        return mDelayMillis;
    }

    boolean readsAreStale(long nowMillis) {
        return nowMillis < mStaleUntilMillis;
    }

    /** Returns whether the answer of the present write must be dropped. */
    boolean takeLostAnswer() {
        return mLoseAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
