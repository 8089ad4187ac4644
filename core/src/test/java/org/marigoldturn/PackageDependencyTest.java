package org.marigoldturn;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Guards against dependencies between packages that point upwards or form a cycle. */
class PackageDependencyTest {
    private static final Path SOURCES = Path.of("src/main/java/org/marigoldturn");
    private static final Pattern REFERENCE = Pattern.compile("org\\.marigoldturn\\.([a-z]+)[.;]");

    /** Packages from the top layer to the bottom; a package may use only later ones. */
    private static final List<String> LAYERS =
            List.of(
                    "cli",
                    "coordination",
                    "daemon",
                    "operator",
                    "entry",
                    "fleet",
                    "membership",
                    "routing",
                    "admission",
                    "shares",
                    "rights",
                    "scheduling",
                    "jobs",
                    "peer",
                    "settings",
                    "store",
                    "clientlimits",
                    "hashing");

    @Example
    void packagesDependOnlyOnLowerLayers() throws IOException {
        List<String> violations = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                collectViolations(file, violations);
            }
        }
        assertThat(violations).isEmpty();
    }

    private static void collectViolations(Path file, List<String> violations) throws IOException {
        Path relative = SOURCES.relativize(file);
        if (relative.getNameCount() < 2) {
            return;
        }
        int layer = LAYERS.indexOf(relative.getName(0).toString());
        if (layer < 0) {
            violations.add("package of " + relative + " is not listed in LAYERS");
        }
        Matcher references = REFERENCE.matcher(Files.readString(file));
        while (references.find()) {
            if (LAYERS.indexOf(references.group(1)) < layer) {
                violations.add(relative + " uses " + references.group(1));
            }
        }
    }
}
