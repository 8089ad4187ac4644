package org.marigoldturn.daemon;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Start configuration of one entry daemon. Immutable.
 *
 * @param name name of the daemon; its member id adds a random incarnation
 * @param zone availability zone of the daemon
 * @param address IP address on which all ports listen
 * @param callerPort port for callers; 0 takes a free one
 * @param operatorPort port for operators; 0 takes a free one
 * @param peerPort port for other daemons; 0 takes a free one
 * @param storeEndpoint base URI of the key-value service
 * @param storePrefix key prefix in the store, ending in a slash
 * @param storeTimeoutMillis time limit of each store call
 * @param operatorToken credential that operators present
 */
public record EntryConfig(
        String name,
        String zone,
        String address,
        int callerPort,
        int operatorPort,
        int peerPort,
        URI storeEndpoint,
        String storePrefix,
        long storeTimeoutMillis,
        String operatorToken) {
    private static final String DEFAULT_PREFIX = "/marigoldturn/";
    private static final long DEFAULT_STORE_TIMEOUT_MILLIS = 1_000;
    private static final ObjectMapper YAML =
            YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    public EntryConfig {
        require("name", name);
        require("zone", zone);
        require("address", address);
        require("operatorToken", operatorToken);
        if (storeEndpoint == null) {
            throw new IllegalArgumentException("storeEndpoint is missing");
        }
        storePrefix = storePrefix == null ? DEFAULT_PREFIX : storePrefix;
        storeTimeoutMillis =
                storeTimeoutMillis == 0 ? DEFAULT_STORE_TIMEOUT_MILLIS : storeTimeoutMillis;
    }

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file can't be read or is invalid
     */
    public static EntryConfig read(Path file) {
        try {
            return YAML.readValue(Files.readAllBytes(file), EntryConfig.class);
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
            throw new ConfigException("configuration " + file + " is invalid: " + reason, e);
        }
    }

    private static void require(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(field + " is missing");
        }
    }
}
