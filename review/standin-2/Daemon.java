import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** One process of the project, started with the command of deploy/system.toml. */
final class Daemon {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Path mRepository;
    private final Path mFolder;
    private final String mNode;
    private final String mIp;
    private Process mProcess;

    /** A response; status 0 if there was none. */
    record Response(int status, String body) {}

    Daemon(Path repository, Path folder, String node, String ip, Map<String, String> settings)
            throws IOException {
        mRepository = repository;
        mFolder = folder;
        mNode = node;
        mIp = ip;
        StringBuilder text = new StringBuilder();
        text.append("Node=").append(node).append('\n');
        text.append("Ip=").append(ip).append('\n');
        text.append("Listen.Front=").append(ip).append(":8340\n");
        text.append("Listen.Readiness=").append(ip).append(":8343\n");
        settings.forEach((name, value) -> text.append(name).append('=').append(value).append('\n'));
        Files.writeString(folder.resolve(node + ".conf"), text);
    }

    String node() {
        return mNode;
    }

    void start() throws IOException {
        String run = "";
        for (String line : Files.readAllLines(mRepository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
        builder.directory(mRepository.toFile());
        builder.environment().put("MARIGOLDTURN_BOOT", mFolder.resolve(mNode + ".conf").toString());
        builder.redirectErrorStream(true);
        File log = mFolder.resolve(mNode + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mProcess = builder.start();
        Case.log("daemon " + mNode + " started");
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    void kill() {
        mProcess.destroyForcibly();
        Case.log("daemon " + mNode + " killed");
    }

    void end() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    boolean isReady() {
        return send("GET", "http://" + mIp + ":8343/v1/ready", "", "", 500).status() == 200;
    }

    /** Calls as a client does. */
    Response call(String method, String path, String body) {
        return send(method, "http://" + mIp + ":8340" + path, "key-1", body, 3_000);
    }

    String log() throws IOException {
        return Files.readString(mFolder.resolve(mNode + ".log"));
    }

    private static Response send(String method, String uri, String key, String body, int millis) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .timeout(Duration.ofMillis(millis))
                        .header("Credential", key.isEmpty() ? "none" : key)
                        .header("Deadline-Ms", String.valueOf(millis))
                        .header("Content-Type", "application/json")
                        .header("Host", "jobs.example")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Response(0, String.valueOf(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Response(0, "interrupted");
        }
    }
}
