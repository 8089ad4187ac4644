package org.marigoldturn.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the SHA-256 of settings content, and the shard of a host from its hashed name. */
public final class ContentHash {
    /** Number of shards into which the hosts are divided by name. */
    public static final int HOST_SHARDS = 32;

    private ContentHash() {}

    /** Returns the SHA-256 of the content in hexadecimal. */
    public static String of(byte[] content) {
        return HexFormat.of().formatHex(sha256(content));
    }

    /** Returns the number of the shard that holds the host, from 0 to {@link #HOST_SHARDS} - 1. */
    public static int hostShard(String hostName) {
        byte[] hash = sha256(hostName.getBytes(StandardCharsets.UTF_8));
        return Math.floorMod(hash[0], HOST_SHARDS);
    }

    static byte[] sha256(byte[] content) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(content);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}
