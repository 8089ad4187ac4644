package org.marigoldturn.store;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * A key with its value as the store returned it.
 *
 * @param key full key
 * @param value content; empty for a deleted key
 * @param createRevision store revision that created the key
 * @param modRevision store revision that last changed the key
 */
public record StoredValue(String key, ByteString value, long createRevision, long modRevision) {
    public StoredValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
