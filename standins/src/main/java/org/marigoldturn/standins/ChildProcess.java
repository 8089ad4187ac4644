package org.marigoldturn.standins;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java process that prints a line starting with {@code ready} once it serves. */
public final class ChildProcess implements AutoCloseable {
    private final Process mProcess;
    private final BufferedReader mOutput;
    private final String mReadyLine;

    private ChildProcess(Process process, BufferedReader output, String readyLine) {
        mProcess = process;
        mOutput = output;
        mReadyLine = readyLine;
    }

    /** Starts a main class with this process's class path and waits until it is ready. */
    public static ChildProcess start(Path log, String mainClass, String... args)
            throws IOException {
        return start(log, List.of(), mainClass, args);
    }

    /** Starts a main class with additional JVM options and waits until it is ready. */
    public static ChildProcess start(
            Path log, List<String> jvmOptions, String mainClass, String... args)
            throws IOException {
        Process process = launch(log, jvmOptions, mainClass, args);
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        String line = output.readLine();
        while (line != null && !line.startsWith("ready")) {
            line = output.readLine();
        }
        if (line == null) {
            throw new IOException(mainClass + " ended before it was ready; see " + log);
        }
        return new ChildProcess(process, output, line);
    }

    /** Runs a main class to its end, which must succeed, and returns its standard output. */
    public static String run(Path log, String mainClass, String... args) throws IOException {
        Process process = launch(log, List.of(), mainClass, args);
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
            String text = String.join("\n", output.lines().toList());
            int code = process.waitFor();
            if (code != 0) {
                throw new IOException(mainClass + " exited with code " + code + "; see " + log);
            }
            return text;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for " + mainClass, e);
        }
    }

    /** Exit code, standard output and standard error of a process that has ended. */
    public record Result(int exitCode, String output, String errors) {}

    /**
     * Runs a main class to its end; {@code log} receives its standard error and must not exist yet.
     */
    public static Result runAndCapture(Path log, String mainClass, String... args)
            throws IOException, InterruptedException {
        Process process = launch(log, List.of(), mainClass, args);
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
            String text = String.join("\n", output.lines().toList());
            return new Result(process.waitFor(), text, Files.readString(log));
        }
    }

    private static Process launch(
            Path log, List<String> jvmOptions, String mainClass, String... args)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("@" + optionsFile());
        command.add(
                "-Dcom.linecorp.armeria.numCommonWorkers="
                        + Runtime.getRuntime().availableProcessors());
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(List.of(args));
        return new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
                .start();
    }

    /**
     * Returns the file of the JVM options that {@code bin/marigoldturn} uses, for a process that
     * was started in the root of the project or in a module.
     */
    private static Path optionsFile() throws IOException {
        for (Path root : List.of(Path.of(""), Path.of(".."))) {
            Path file = root.resolve("config").resolve("jvm.options");
            if (Files.isReadable(file)) {
                return file;
            }
        }
        throw new IOException(
                "config/jvm.options not found in "
                        + Path.of("").toAbsolutePath()
                        + " or its parent");
    }

    /** Returns the port that the ready line states as {@code name=PORT}. */
    public int port(String name) {
        for (String word : mReadyLine.split(" ")) {
            if (word.startsWith(name + "=")) {
                return Integer.parseInt(word.substring(name.length() + 1));
            }
        }
        throw new IllegalArgumentException(
                "ready line \"" + mReadyLine + "\" states no port " + name);
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process has not ended. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Ends the process at once (SIGKILL). */
    public void kill() {
        mProcess.destroyForcibly().onExit().join();
    }

    /** Suspends the process (SIGSTOP). */
    public void pause() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Resumes a suspended process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", name, Long.toString(mProcess.pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot send " + name + " to process " + mProcess.pid());
        }
    }

    /** Sends SIGTERM and does not wait for the process to end. */
    public void requestTermination() {
        mProcess.destroy();
    }

    /** Sends SIGTERM and returns the exit code. */
    public int terminate() throws InterruptedException {
        mProcess.destroy();
        return mProcess.waitFor();
    }

    @Override
    public void close() {
        mProcess.destroy();
        try {
            if (!mProcess.waitFor(10, TimeUnit.SECONDS)) {
                mProcess.destroyForcibly();
            }
            mOutput.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            mProcess.destroyForcibly();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
