package org.marigoldturn.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
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
 * @param advertisedPeerPort port at which other daemons reach {@code peerPort} if a port mapping is
 *     in between; 0 is the port itself
 * @param storeEndpoint base URI of the key-value service
 * @param storePrefix key prefix in the store, ending in a slash
 * @param storeTimeoutMillis time limit of each store call
 * @param hostListEndpoint base URI of the platform's host list
 * @param operatorToken credential that operators present
 * @param peerToken secret that the daemons share
 * @param tls certificate for the ports of callers and operators
 * @param plaintext true to serve without TLS
 * @param maxConnections largest number of open caller connections
 * @param drainDelayMillis time from failing readiness to refusing requests in a shutdown
 * @param plannerIntervalMillis time between two steps of the planner
 */
public record EntryConfig(
        String name,
        String zone,
        String address,
        int callerPort,
        int operatorPort,
        int peerPort,
        int advertisedPeerPort,
        URI storeEndpoint,
        String storePrefix,
        long storeTimeoutMillis,
        URI hostListEndpoint,
        String operatorToken,
        String peerToken,
        TlsConfig tls,
        boolean plaintext,
        int maxConnections,
        long drainDelayMillis,
        long plannerIntervalMillis) {
    private static final long DEFAULT_PLANNER_INTERVAL_MILLIS = 15_000;
    private static final String DEFAULT_PREFIX = "/marigoldturn/";
    private static final long DEFAULT_STORE_TIMEOUT_MILLIS = 1_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
    private static final long DEFAULT_DRAIN_DELAY_MILLIS = 5_000;
    private static final ObjectMapper YAML =
            YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /**
     * Files of the TLS certificate.
     *
     * @param certificateFile certificate chain in PEM
     * @param keyFile private key in PEM
     */
    public record TlsConfig(Path certificateFile, Path keyFile) {
        public TlsConfig {
            if (certificateFile == null || keyFile == null) {
                throw new IllegalArgumentException("tls needs certificateFile and keyFile");
            }
        }
    }

    public EntryConfig {
        require("name", name);
        require("zone", zone);
        require("address", address);
        require("operatorToken", operatorToken);
        require("peerToken", peerToken);
        if (storeEndpoint == null) {
            throw new IllegalArgumentException("storeEndpoint is missing");
        }
        if ((tls == null) != plaintext) {
            throw new IllegalArgumentException("give either tls or plaintext: true");
        }
        storePrefix = storePrefix == null ? DEFAULT_PREFIX : storePrefix;
        storeTimeoutMillis =
                storeTimeoutMillis == 0 ? DEFAULT_STORE_TIMEOUT_MILLIS : storeTimeoutMillis;
        hostListEndpoint = hostListEndpoint == null ? storeEndpoint : hostListEndpoint;
        maxConnections = maxConnections == 0 ? DEFAULT_MAX_CONNECTIONS : maxConnections;
        plannerIntervalMillis =
                plannerIntervalMillis == 0
                        ? DEFAULT_PLANNER_INTERVAL_MILLIS
                        : plannerIntervalMillis;
        drainDelayMillis = drainDelayMillis == 0 ? DEFAULT_DRAIN_DELAY_MILLIS : drainDelayMillis;
    }

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file can't be read or is invalid
     */
    public static EntryConfig read(Path file) {
        try {
            return YAML.readValue(Files.readAllBytes(file), EntryConfig.class);
        } catch (JsonProcessingException e) {
            String reason = String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new ConfigException(
                    "configuration " + file + ", line " + line + ": " + reason, e);
        } catch (IOException e) {
            throw new ConfigException("configuration " + file + " can't be read", e);
        }
    }

    private static void require(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(field + " is missing");
        }
    }
}
