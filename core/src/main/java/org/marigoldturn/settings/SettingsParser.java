package org.marigoldturn.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Parses settings from YAML, in which each section maps the names of entries to their fields.
 *
 * <p>All errors in a document are reported at once. Calls share no state.
 */
public final class SettingsParser {
    private static final Map<String, Class<? extends Record>> SECTIONS =
            new TreeMap<>(
                    Map.of(
                            "zones", ZoneSettings.class,
                            "pools", PoolSettings.class,
                            "services", ServiceSettings.class,
                            "teams", TeamSettings.class,
                            "hosts", HostSettings.class));

    private final List<SettingsError> mErrors = new ArrayList<>();
    private final RecordBinder mBinder = new RecordBinder(mErrors);
    private final Map<String, Integer> mLineByPath = new HashMap<>();
    private final Set<String> mInvalidPaths = new HashSet<>();

    private SettingsParser() {}

    /** Parses and checks the settings of the whole fleet. */
    public static Either<List<SettingsError>, FleetSettings> parse(String yaml) {
        return new SettingsParser().parseFleet(yaml);
    }

    /**
     * Parses a document with the fields of the entry at {@code path}, such as {@code teams/club}.
     *
     * <p>References to other entries are checked when the edit is committed.
     */
    public static Either<List<SettingsError>, SettingsEdit> parseEntry(String path, String yaml) {
        return new SettingsParser().parseSingle(path, yaml);
    }

    private Either<List<SettingsError>, FleetSettings> parseFleet(String yaml) {
        YamlTree.Mapping root = YamlTree.read(yaml, mErrors);
        collectLines("", root);
        root.values()
                .forEach(
                        (key, value) -> {
                            if (!SECTIONS.containsKey(key) && !key.equals(SettingsPaths.POLICY)) {
                                String expected = "expected policy or one of " + SECTIONS.keySet();
                                addError(key, value.line(), expected + ", found \"" + key + "\"");
                            }
                        });
        FleetSettings settings =
                new FleetSettings(
                        section(root, "zones", ZoneSettings.class),
                        section(root, "pools", PoolSettings.class),
                        section(root, "services", ServiceSettings.class),
                        section(root, "teams", TeamSettings.class),
                        section(root, "hosts", HostSettings.class),
                        policy(root.values().get(SettingsPaths.POLICY)));
        for (SettingsError error : SettingsChecker.check(settings, mInvalidPaths)) {
            addError(error.path(), lineOf(error.path()), error.message());
        }
        return mErrors.isEmpty() ? Either.right(settings) : Either.left(sortedErrors());
    }

    private <R extends Record> Map<String, R> section(
            YamlTree.Mapping root, String section, Class<R> type) {
        Map<String, R> entries = new TreeMap<>();
        YamlTree.Node node = root.values().get(section);
        if (node == null || (node instanceof YamlTree.Scalar scalar && scalar.text() == null)) {
            return entries;
        }
        if (!(node instanceof YamlTree.Mapping mapping)) {
            addError(section, node.line(), "expected a mapping of names to entries");
            return entries;
        }
        mapping.values()
                .forEach(
                        (name, value) -> {
                            String path = section + "/" + name;
                            Optional<R> entry = mBinder.bind(type, section, path, name, value);
                            entry.ifPresentOrElse(
                                    e -> entries.put(name, e), () -> mInvalidPaths.add(path));
                        });
        return entries;
    }

    private FleetPolicy policy(YamlTree.Node node) {
        String path = SettingsPaths.POLICY;
        return node == null || (node instanceof YamlTree.Scalar scalar && scalar.text() == null)
                ? FleetPolicy.DEFAULT
                : mBinder.bind(FleetPolicy.class, path, path, null, node)
                        .orElse(FleetPolicy.DEFAULT);
    }

    private Either<List<SettingsError>, SettingsEdit> parseSingle(String path, String yaml) {
        if (path.equals(SettingsPaths.POLICY)) {
            FleetPolicy policy = policy(YamlTree.read(yaml, mErrors));
            return mErrors.isEmpty()
                    ? Either.right(new SettingsEdit.PutPolicy(policy))
                    : Either.left(sortedErrors());
        }
        String[] parts = path.split("/", -1);
        Class<? extends Record> type = parts.length == 2 ? SECTIONS.get(parts[0]) : null;
        if (type == null) {
            addError(path, 0, "expected a path such as teams/NAME in one of " + SECTIONS.keySet());
            return Either.left(sortedErrors());
        }
        YamlTree.Mapping root = YamlTree.read(yaml, mErrors);
        Optional<? extends Record> entry = mBinder.bind(type, parts[0], path, parts[1], root);
        return entry.isPresent() && mErrors.isEmpty()
                ? Either.right(edit(entry.get()))
                : Either.left(sortedErrors());
    }

    private static SettingsEdit edit(Record entry) {
        if (entry instanceof ZoneSettings zone) {
            return new SettingsEdit.PutZone(zone);
        }
        if (entry instanceof PoolSettings pool) {
            return new SettingsEdit.PutPool(pool);
        }
        if (entry instanceof ServiceSettings service) {
            return new SettingsEdit.PutService(service);
        }
        return entry instanceof TeamSettings team
                ? new SettingsEdit.PutTeam(team)
                : new SettingsEdit.PutHost((HostSettings) entry);
    }

    private void collectLines(String path, YamlTree.Node node) {
        mLineByPath.put(path, node.line());
        if (node instanceof YamlTree.Mapping mapping) {
            String prefix = path.isEmpty() ? "" : path + "/";
            mapping.values().forEach((key, value) -> collectLines(prefix + key, value));
        }
    }

    /** Returns the line of the path, or of its nearest ancestor in the document. */
    private int lineOf(String path) {
        String nearest = path;
        while (!mLineByPath.containsKey(nearest)) {
            nearest = nearest.substring(0, Math.max(0, nearest.lastIndexOf('/')));
        }
        return mLineByPath.get(nearest);
    }

    private List<SettingsError> sortedErrors() {
        return mErrors.stream()
                .distinct()
                .sorted(
                        Comparator.comparingInt(SettingsError::line)
                                .thenComparing(SettingsError::path))
                .toList();
    }

    private void addError(String path, int line, String message) {
        mErrors.add(new SettingsError(path, line, message));
    }
}
