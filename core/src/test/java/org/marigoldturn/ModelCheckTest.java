package org.marigoldturn;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import tlc2.TLC;

/**
 * Checks every configuration in {@code models/} with TLC. {@code X.cfg} belongs to the module with
 * the longest name that X starts with. A configuration whose name contains {@code Broken} must
 * violate an invariant, which shows that the invariant can fail; every other one must pass.
 */
class ModelCheckTest {
    private static final Path MODELS = Path.of("../models");
    private static final Path OUTPUT = Path.of("target/tlc");

    /** Exit value of TLC if all checks pass. */
    private static final int PASSED = 0;

    /** Exit value of TLC if an invariant is violated. */
    private static final int INVARIANT_VIOLATED = 12;

    /** Ends a TLC run that hangs; the largest model takes under two minutes on a busy machine. */
    private static final long RUN_LIMIT_MINUTES = 10;

    @Example
    void allModelsPassAndAllBrokenVariantsAreRejected() throws Exception {
        List<String> unexpected = new ArrayList<>();
        List<String> configurations = names(".cfg");
        for (String configuration : configurations) {
            int expected = configuration.contains("Broken") ? INVARIANT_VIOLATED : PASSED;
            int actual = check(configuration);
            if (actual != expected) {
                unexpected.add(configuration + ": exit value " + actual + ", expected " + expected);
            }
        }
        assertThat(configurations).contains("SettingsPropagation", "FencedRole");
        assertThat(unexpected).as("see " + OUTPUT.toAbsolutePath()).isEmpty();
    }

    private static int check(String configuration) throws Exception {
        String module =
                names(".tla").stream()
                        .filter(configuration::startsWith)
                        .max(Comparator.comparingInt(String::length))
                        .orElseThrow(() -> new AssertionError("no module for " + configuration));
        Path directory = Files.createDirectories(OUTPUT.resolve(configuration));
        Process tlc =
                new ProcessBuilder(command(configuration, module, directory.toAbsolutePath()))
                        .directory(MODELS.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve("output.txt").toFile())
                        .start();
        try {
            boolean ended = tlc.waitFor(RUN_LIMIT_MINUTES, TimeUnit.MINUTES);
            assertThat(ended).as(configuration + " has ended").isTrue();
            return tlc.exitValue();
        } finally {
            tlc.destroyForcibly();
        }
    }

    private static List<String> command(String configuration, String module, Path directory)
            throws URISyntaxException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Path jar = Path.of(TLC.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        return List.of(
                java.toString(),
                "-Xmx1g",
                "-XX:+UseParallelGC",
                "-cp",
                jar.toString(),
                TLC.class.getName(),
                "-workers",
                "4",
                // Disables the deadlock check: a model has no next step at its largest version.
                "-deadlock",
                "-cleanup",
                "-metadir",
                directory.resolve("states").toString(),
                "-config",
                configuration + ".cfg",
                module + ".tla");
    }

    private static List<String> names(String suffix) throws IOException {
        try (Stream<Path> files = Files.list(MODELS)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(suffix))
                    .map(name -> name.substring(0, name.length() - suffix.length()))
                    .sorted()
                    .toList();
        }
    }
}
