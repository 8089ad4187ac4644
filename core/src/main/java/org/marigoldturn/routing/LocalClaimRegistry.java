package org.marigoldturn.routing;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Claims request ids in the table of this daemon, for a daemon that is the only owner. Thread safe.
 */
public final class LocalClaimRegistry implements ClaimRegistry {
    private final String mDaemonId;
    private final RequestClaims mClaims;
    private final LongSupplier mNowMillis;

    /** Creates a registry over the daemon's own table. */
    public LocalClaimRegistry(String daemonId, RequestClaims claims, LongSupplier nowMillis) {
        mDaemonId = daemonId;
        mClaims = claims;
        mNowMillis = nowMillis;
    }

    @Override
    public CompletableFuture<ClaimResult> claim(RequestId id) {
        return CompletableFuture.completedFuture(
                mClaims.claim(id, mDaemonId, mNowMillis.getAsLong()));
    }

    @Override
    public void release(RequestId id) {
        mClaims.release(id, mDaemonId);
    }
}
