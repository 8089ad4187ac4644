package org.marigoldturn.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * Configuration with which an entry daemon starts, read from a YAML file. Immutable.
 *
 * @param name name of the daemon; the member id is this name with a random suffix for each start
 * @param zone availability zone of the daemon
 * @param address IP address on which all ports listen
 * @param callerPort port for callers; 0 takes a free one
 * @param operatorPort port for operators; 0 takes a free one
 * @param peerPort port for other daemons; 0 takes a free one
 * @param advertisedPeerPort port at which other daemons reach {@code peerPort} through a port
 *     mapping; 0 if there is no mapping
 * @param storeEndpoint base URI of the key-value service
 * @param storePrefix key prefix in the store, ending in a slash
 * @param storeTimeoutMillis time limit of each store call
 * @param hostListEndpoint base URI of the platform's host list
 * @param operatorToken credential that operators present
 * @param peerToken secret that the daemons share
 * @param tls certificate for the ports of callers and operators
 * @param plaintext true to serve without TLS
 * @param targetCaFile certificates of the authorities that sign target certificates; null for the
 *     defaults of the Java runtime
 * @param maxConnections largest number of open caller connections
 * @param maxOperatorConnections largest number of open operator connections
 * @param drainDelayMillis time from the first failure of the readiness check to the refusal of
 *     requests in a shutdown
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
        Path targetCaFile,
        int maxConnections,
        int maxOperatorConnections,
        long drainDelayMillis,
        long plannerIntervalMillis) {
    private static final long DEFAULT_PLANNER_INTERVAL_MILLIS = 15_000;
    private static final String DEFAULT_PREFIX = "/marigoldturn/";
    private static final long DEFAULT_STORE_TIMEOUT_MILLIS = 1_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
    private static final int DEFAULT_MAX_OPERATOR_CONNECTIONS = 100;
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
                throw new IllegalArgumentException("tls must set both certificateFile and keyFile");
            }
        }
    }

    /** Omits the tokens, which must not appear in logs. */
    @Override
    public String toString() {
        return "EntryConfig[name=" + name + ", zone=" + zone + ", address=" + address + "]";
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
            throw new IllegalArgumentException(
                    "exactly one of tls and plaintext: true must be set");
        }
        storePrefix = storePrefix == null ? DEFAULT_PREFIX : storePrefix;
        storeTimeoutMillis =
                storeTimeoutMillis == 0 ? DEFAULT_STORE_TIMEOUT_MILLIS : storeTimeoutMillis;
        hostListEndpoint = hostListEndpoint == null ? storeEndpoint : hostListEndpoint;
        maxConnections = maxConnections == 0 ? DEFAULT_MAX_CONNECTIONS : maxConnections;
        maxOperatorConnections =
                maxOperatorConnections == 0
                        ? DEFAULT_MAX_OPERATOR_CONNECTIONS
                        : maxOperatorConnections;
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
        } catch (UnrecognizedPropertyException e) {
            throw invalid(file, e, "unknown setting \"" + path(e) + "\"");
        } catch (ValueInstantiationException e) {
            throw invalid(file, e, String.valueOf(e.getCause().getMessage()));
        } catch (JsonMappingException e) {
            throw invalid(file, e, "the value of \"" + path(e) + "\" has the wrong type or format");
        } catch (JsonProcessingException e) {
            String reason = String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
            throw invalid(file, e, reason);
        } catch (NoSuchFileException e) {
            throw new ConfigException("configuration " + file + " does not exist", e);
        } catch (IOException e) {
            throw new ConfigException("configuration " + file + " can't be read", e);
        }
    }

    /**
     * Creates the exception; the reason must contain no value of the file, which may be a token.
     */
    private static ConfigException invalid(Path file, JsonProcessingException e, String reason) {
        int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
        return new ConfigException("configuration " + file + ", line " + line + ": " + reason, e);
    }

    private static String path(JsonMappingException e) {
        return e.getPath().stream()
                .map(JsonMappingException.Reference::getFieldName)
                .collect(Collectors.joining("."));
    }

    private static void require(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(field + " is missing");
        }
    }
}
