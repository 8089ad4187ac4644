package org.marigoldturn.standins;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keys, revisions and leases of the store stand-in.
 *
 * <p>Not thread safe; the server calls it under one lock.
 */
final class StoreState {
    /** Stored entry of one key. */
    record Entry(byte[] value, long createRevision, long modRevision, long leaseId) {}

    private static final class Lease {
        final long mTtlMillis;
        long mExpiresAtMillis;

        Lease(long ttlMillis, long expiresAtMillis) {
            mTtlMillis = ttlMillis;
            mExpiresAtMillis = expiresAtMillis;
        }
    }

    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 1;
    private long mNextLeaseId = 1000;

    /** Returns a copy of the entries and the revision, without leases; for reads only. */
    StoreState copy() {
        StoreState copy = new StoreState();
        copy.mEntries.putAll(mEntries);
        copy.mRevision = mRevision;
        return copy;
    }

    boolean hasLease(long leaseId) {
        return mLeases.containsKey(leaseId);
    }

    long revision() {
        return mRevision;
    }

    /**
     * Starts a new revision; called once before the changes of a transaction or a revoked lease.
     */
    void nextRevision() {
        mRevision++;
    }

    Entry get(String key) {
        return mEntries.get(key);
    }

    /** Returns the entries from {@code key} up to {@code end}, exclusive; only key if no end. */
    Map<String, Entry> range(String key, String end) {
        if (end == null) {
            Entry entry = mEntries.get(key);
            return entry == null ? Map.of() : Map.of(key, entry);
        }
        return mEntries.subMap(key, true, end, false);
    }

    Entry put(String key, byte[] value, long leaseId) {
        Entry old = mEntries.get(key);
        long createRevision = old == null ? mRevision : old.createRevision();
        Entry entry = new Entry(value, createRevision, mRevision, leaseId);
        mEntries.put(key, entry);
        return entry;
    }

    boolean delete(String key) {
        return mEntries.remove(key) != null;
    }

    long grantLease(long ttlMillis, long nowMillis) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMillis, nowMillis + ttlMillis));
        return id;
    }

    /**
     * Renews a lease and returns its time to live in milliseconds, or 0 if it has expired or was
     * revoked.
     */
    long keepAlive(long leaseId, long nowMillis) {
        Lease lease = mLeases.get(leaseId);
        if (lease == null) {
            return 0;
        }
        lease.mExpiresAtMillis = nowMillis + lease.mTtlMillis;
        return lease.mTtlMillis;
    }

    void revoke(long leaseId) {
        mLeases.remove(leaseId);
        List<String> attached =
                mEntries.entrySet().stream()
                        .filter(e -> e.getValue().leaseId() == leaseId)
                        .map(Map.Entry::getKey)
                        .toList();
        if (!attached.isEmpty()) {
            nextRevision();
            attached.forEach(mEntries::remove);
        }
    }

    void expireLeases(long nowMillis) {
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(e -> e.getValue().mExpiresAtMillis <= nowMillis)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(this::revoke);
    }
}
