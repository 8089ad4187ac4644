package org.marigoldturn.store;

import com.google.protobuf.ByteString;

/** One operation in a branch of a transaction. */
public sealed interface Operation {

    /** Lease id of values that are not attached to a lease. */
    long NO_LEASE = 0;

    /** Reads one key. */
    record Read(String key) implements Operation {}

    /** Reads all keys that start with a prefix, in key order. */
    record ReadPrefix(String prefix) implements Operation {}

    /** Writes one key. */
    record Put(String key, ByteString value, long leaseId) implements Operation {
        /** Creates a write that is not attached to a lease. */
        public Put(String key, ByteString value) {
            this(key, value, NO_LEASE);
        }
    }

    /** Deletes one key. */
    record Delete(String key) implements Operation {}
}
