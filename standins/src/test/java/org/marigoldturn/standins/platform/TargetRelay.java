package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.util.function.Predicate;

/**
 * Relays the calls for one target to its present incarnation.
 *
 * <p>It can hold one call back, which gets no response and is passed on later, and can lose all
 * calls and responses. Thread safe.
 */
final class TargetRelay implements AutoCloseable {
    private static final String EXPECT_INSTANCE = "Expect-Instance";

    private final WebClient mClient = WebClient.builder().responseTimeoutMillis(0).build();
    private final StandInHttp mHttp = new StandInHttp(this::handle);
    private String mAddress;
    private Predicate<Call> mHolds = call -> false;
    private Call mHeld;
    private boolean mCut;
    private int mLostPollsWithoutLease;
    private boolean mClosed;

    /** A call to the target. */
    record Call(String path, String expectedInstance, JsonNode body) {
        boolean isStart() {
            return path.equals("/v1/run-start");
        }

        boolean isPoll() {
            return path.equals("/v1/hold");
        }

        boolean hasLease() {
            return body.path("ExpiresMs").asLong() > 0;
        }

        long lastSeen() {
            return body.path("LastSeen").asLong();
        }
    }

    TargetRelay(String targetAddress) {
        mAddress = targetAddress;
    }

    String address() {
        return mHttp.address();
    }

    /** Relays further calls to the next incarnation; responses of the former one are lost. */
    synchronized void relayTo(String targetAddress) {
        mAddress = targetAddress;
    }

    /** Holds the next call back that matches, and loses all calls and responses from then on. */
    synchronized void holdAndCut(Predicate<Call> holds) {
        mHolds = holds;
    }

    synchronized boolean isHolding() {
        return mHeld != null;
    }

    /** Passes the held call on, also while others are lost, and returns the target's response. */
    AggregatedHttpResponse passOn() {
        String address;
        Call call;
        synchronized (this) {
            address = mAddress;
            call = mHeld;
        }
        return send(address, call);
    }

    /** Loses all further calls, and the responses to open ones. */
    synchronized void cut() {
        mCut = true;
        mLostPollsWithoutLease = 0;
    }

    synchronized void reconnect() {
        mCut = false;
    }

    /** Returns the number of polls without a lease that were lost since the last cut. */
    synchronized int countLostPollsWithoutLease() {
        return mLostPollsWithoutLease;
    }

    private StandInStore.Response handle(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException, IOException {
        Call call = new Call(context.path(), request.headers().get(EXPECT_INSTANCE, ""), body);
        String address;
        synchronized (this) {
            if (mHolds.test(call)) {
                mHolds = other -> false;
                mHeld = call;
                cut();
                return awaitClose();
            }
            if (mCut) {
                mLostPollsWithoutLease += call.isPoll() && !call.hasLease() ? 1 : 0;
                return awaitClose();
            }
            address = mAddress;
        }
        AggregatedHttpResponse response = send(address, call);
        synchronized (this) {
            if (mCut || !address.equals(mAddress)) {
                return awaitClose();
            }
        }
        ObjectNode responseBody = (ObjectNode) StandInHttp.JSON.readTree(response.contentUtf8());
        return new StandInStore.Response(response.status().code(), responseBody);
    }

    private AggregatedHttpResponse send(String address, Call call) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, "http://" + address + call.path())
                        .contentType(MediaType.JSON)
                        .add(EXPECT_INSTANCE, call.expectedInstance())
                        .build();
        HttpData content = HttpData.ofUtf8(call.body().toString());
        return mClient.execute(HttpRequest.of(headers, content)).aggregate().join();
    }

    private StandInStore.Response awaitClose() throws InterruptedException {
        while (!mClosed) {
            wait();
        }
        return StandInStore.Response.of(503);
    }

    /** Ends the relay without waiting until its server has stopped. */
    @Override
    public void close() {
        synchronized (this) {
            mClosed = true;
            notifyAll();
        }
        var unused = mHttp.stop();
    }
}
