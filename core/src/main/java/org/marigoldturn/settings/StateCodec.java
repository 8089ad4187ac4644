package org.marigoldturn.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes a versioned state as one JSON content per path, and decodes it.
 *
 * <p>Equal values result in equal bytes, so that unchanged paths keep their hash. Stateless.
 */
public final class StateCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEAM_PREFIX = "teams/";
    private static final String HOST_PREFIX = "hosts/";

    private StateCodec() {}

    /** Returns the content of each path. */
    public static Map<String, byte[]> encode(
            FleetSettings settings, MemberSet members, RightsDivision rights) {
        Map<String, byte[]> contents = new TreeMap<>();
        contents.put("zones", write(settings.zones()));
        contents.put("pools", write(settings.pools()));
        contents.put("services", write(settings.services()));
        contents.put("policy", write(settings.policy()));
        settings.teams().forEach((name, team) -> contents.put(TEAM_PREFIX + name, write(team)));
        Map<String, Map<String, HostSettings>> shards = new TreeMap<>();
        for (HostSettings host : settings.hosts().values()) {
            String path = "%s%02d".formatted(HOST_PREFIX, ContentHash.hostShard(host.name()));
            shards.computeIfAbsent(path, p -> new TreeMap<>()).put(host.name(), host);
        }
        shards.forEach((path, hosts) -> contents.put(path, write(hosts)));
        contents.put(SettingsPaths.MEMBERS, write(members));
        contents.put(SettingsPaths.RIGHTS, write(rights.teams()));
        // Slots have a content of their own, because it is the largest and rights of teams change
        // more often than hosts.
        contents.put(SettingsPaths.SLOTS, write(rights.slots()));
        return contents;
    }

    /**
     * Builds the state that a manifest refers to.
     *
     * @param blobs content by hash; must contain each hash of the manifest
     * @throws SettingsException if a content is missing, invalid, or differs from its hash
     */
    public static VersionedState decode(Manifest manifest, Map<String, byte[]> blobs) {
        verify(manifest, blobs);
        Map<String, TeamSettings> teams = new HashMap<>();
        Map<String, HostSettings> hosts = new HashMap<>();
        for (Map.Entry<String, String> entry : manifest.entries().entrySet()) {
            byte[] content = blobs.get(entry.getValue());
            if (entry.getKey().startsWith(TEAM_PREFIX)) {
                TeamSettings team = read(entry.getKey(), content, new TypeReference<>() {});
                teams.put(team.name(), team);
            } else if (entry.getKey().startsWith(HOST_PREFIX)) {
                hosts.putAll(
                        read(
                                entry.getKey(),
                                content,
                                new TypeReference<Map<String, HostSettings>>() {}));
            }
        }
        FleetSettings settings =
                new FleetSettings(
                        readPath(manifest, blobs, "zones", new TypeReference<>() {}, Map.of()),
                        readPath(manifest, blobs, "pools", new TypeReference<>() {}, Map.of()),
                        readPath(manifest, blobs, "services", new TypeReference<>() {}, Map.of()),
                        teams,
                        hosts,
                        readPath(
                                manifest,
                                blobs,
                                "policy",
                                new TypeReference<>() {},
                                FleetPolicy.DEFAULT));
        return new VersionedState(
                manifest,
                settings,
                readPath(
                        manifest,
                        blobs,
                        SettingsPaths.MEMBERS,
                        new TypeReference<>() {},
                        MemberSet.EMPTY),
                new RightsDivision(
                        readPath(
                                manifest,
                                blobs,
                                SettingsPaths.RIGHTS,
                                new TypeReference<>() {},
                                Map.of()),
                        readPath(
                                manifest,
                                blobs,
                                SettingsPaths.SLOTS,
                                new TypeReference<>() {},
                                SlotDivision.EMPTY)));
    }

    /** Writes a manifest as JSON. */
    public static byte[] encodeManifest(Manifest manifest) {
        return write(manifest);
    }

    /** Reads a manifest from JSON. */
    public static Manifest decodeManifest(byte[] content) {
        return read("manifest", content, new TypeReference<>() {});
    }

    /** Writes a history entry as JSON. */
    static byte[] encodeHistory(HistoryEntry entry) {
        return write(entry);
    }

    /** Reads a history entry from JSON. */
    static HistoryEntry decodeHistory(byte[] content) {
        return read("history", content, new TypeReference<>() {});
    }

    private static void verify(Manifest manifest, Map<String, byte[]> blobs) {
        manifest.entries()
                .forEach(
                        (path, hash) -> {
                            byte[] content = blobs.get(hash);
                            if (content != null && !ContentHash.of(content).equals(hash)) {
                                throw new SettingsException(
                                        "content of path \"%s\" in version %d has hash %s, not %s"
                                                .formatted(
                                                        path,
                                                        manifest.version(),
                                                        ContentHash.of(content),
                                                        hash),
                                        null);
                            }
                        });
    }

    private static <T> T readPath(
            Manifest manifest,
            Map<String, byte[]> blobs,
            String path,
            TypeReference<T> type,
            T defaultValue) {
        String hash = manifest.entries().get(path);
        return hash == null ? defaultValue : read(path, blobs.get(hash), type);
    }

    private static <T> T read(String path, byte[] content, TypeReference<T> type) {
        if (content == null) {
            throw new SettingsException("content of path \"" + path + "\" is missing", null);
        }
        try {
            return JSON.readValue(content, type);
        } catch (IOException e) {
            throw new SettingsException("content of path \"" + path + "\" is invalid", e);
        }
    }

    private static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode " + value.getClass(), e);
        }
    }
}
