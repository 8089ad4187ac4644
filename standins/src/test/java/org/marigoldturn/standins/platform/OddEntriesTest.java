package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against entries of other writers that end a daemon or keep it from following the entries
 * after them, before its start and while it runs.
 */
class OddEntriesTest {
    private static final String ENTRY =
            """
            {"Service":"service","Address":"%s","Zone":"z1","State":"ready","Machine":"h9",
            "born":%s,"Capacity":{"Cpu":%s,"MemMb":16000,"Gpu":0},"Labels":["a","r1"]}
            """;
    private static final String GOOD_ADDRESS = "127.0.0.1:9";
    private static final String TWO_TASKS =
            """
            {"Spec":"text","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300}]}
            """;
    private static final int FIRST_ADDRESS_BYTE = 31;

    private Path mDirectory;
    private PlatformFleet mFleet;
    private String mFirstTarget;
    private int mLastJob;

    @BeforeTry
    void create() throws IOException {
        mDirectory = Files.createTempDirectory("odd-entries");
        mFleet = new PlatformFleet(mDirectory, FIRST_ADDRESS_BYTE);
        mFirstTarget = mFleet.platform().addTarget("service", "h1", 100);
    }

    @AfterTry
    void close() {
        mFleet.close();
    }

    @Example
    void daemonServesDespiteOddTargetsBeforeItsStart() throws Exception {
        putOddTargets();
        mFleet.startDaemon();
        assertJobRuns(0);
        assertFollowsNewTargets(0);
    }

    @Example
    void daemonFollowsNewTargetsAfterOddOnesWhileItRuns() throws Exception {
        mFleet.startDaemon();
        assertJobRuns(0);
        putOddTargets();
        assertFollowsNewTargets(0);
        assertThat(metrics()).contains("entries_unusable_targets " + oddTargets().size());
    }

    @Example
    void correctedEntryIsTakenAndAnOddOneIsLoggedOnceHoweverOftenItIsWritten() throws Exception {
        mFleet.startDaemon();
        String good = mFleet.platform().text("servers/" + mFirstTarget);
        for (int i = 0; i < 40; i++) {
            mFleet.platform().put("servers/odd", ENTRY.formatted("127.0.0.1:99999", i, 8_000));
            Thread.sleep(50);
        }
        PlatformFleet.await("the entry is logged", () -> countLines("key=servers/odd ") > 0);
        assertThat(countLines("key=servers/odd ")).isEqualTo(1);
        mFleet.platform().put("servers/odd", good);
        PlatformFleet.await("the correction is taken", () -> countLines("found target=odd ") == 1);
        assertFollowsNewTargets(0);
    }

    @Example
    void damagedOperatorValuesLeaveTheLastGoodOnesInForce() throws Exception {
        mFleet.startDaemon();
        mFleet.platform().put("op/config", "{\"Version\":9,\"Routes\":null}");
        mFleet.platform().put("op/config", "[".repeat(100_000));
        mFleet.platform().put("op/wave/1", "{\"Wave\":1e999999999,\"Machines\":[7]}");
        mFleet.platform().put("op/wave/x", new byte[] {(byte) 0xff, (byte) 0xfe, 0});
        mFleet.platform().put("op/evacuate/", "");
        PlatformFleet.await("the damage is logged", () -> countLines("key=op/wave/x ") == 1);
        assertJobRuns(0);
        assertThat(metrics()).contains("entries_unusable_operator 3");
        mFleet.configure(10, "another");
        PlatformFleet.await(
                "the next configuration is in force",
                () -> mFleet.call(0, HttpMethod.GET, "/q/", "another", "").status().code() == 200);
    }

    @Example
    void damagedRecordsOfTheOwnersDoNotStopTheNextOwner() throws Exception {
        mFleet.startDaemon();
        mFleet.startDaemon();
        assertJobRuns(1);
        byte[] garbage = {(byte) 0xff, 0x08, 0x7f, 0x00};
        for (String key :
                List.of(
                        "mt/job/0000000000000001",
                        "mt/job/",
                        "mt/progress/0000000000000002",
                        "mt/host/wave/1",
                        "mt/host/spare-hosts",
                        "mt/owner/other",
                        "mt/owner/term")) {
            mFleet.platform().put(key, garbage);
        }
        mFleet.platform().put("mt/owner/live", "another-writer");
        mFleet.daemon(0).kill();
        assertJobRuns(1);
        mFleet.startDaemon();
        assertJobRuns(2);
    }

    private void putOddTargets() {
        oddTargets().forEach((id, value) -> mFleet.platform().put("servers/" + id, value));
    }

    /** Values by id, each wrong in one way. */
    private static Map<String, byte[]> oddTargets() {
        Map<String, String> texts = new LinkedHashMap<>();
        texts.put("nested", "[".repeat(100_000));
        texts.put("nested-field", "{\"born\":" + "{\"a\":".repeat(100_000));
        texts.put("null", "null");
        texts.put("empty", "");
        texts.put("list", "[1,2]");
        texts.put("large", "\"" + "x".repeat(1_000_000) + "\"");
        texts.put("large-number", ENTRY.formatted(GOOD_ADDRESS, "9".repeat(30), 8_000));
        texts.put("exponent", ENTRY.formatted(GOOD_ADDRESS, "1e999999999", 8_000));
        texts.put("fraction", ENTRY.formatted(GOOD_ADDRESS, "1.5", 8_000));
        texts.put("large-capacity", ENTRY.formatted(GOOD_ADDRESS, 1, Long.MAX_VALUE));
        texts.put("negative-capacity", ENTRY.formatted(GOOD_ADDRESS, 1, -8_000));
        for (String port : List.of("0", "-1", "65536", "99999", "", "x", "8.5")) {
            texts.put("port" + port, ENTRY.formatted("127.0.0.1:" + port, 1, 8_000));
        }
        for (String ip : List.of("", "localhost", "a b", "300.1.1.1", "10.0.0.1/x?y", "[::g]")) {
            texts.put("address" + texts.size(), ENTRY.formatted(ip + ":80", 1, 8_000));
        }
        texts.put("duplicate", "{\"State\":\"draining\"," + good().strip().substring(1));
        texts.put("trailing", good() + "}");
        texts.put("label", good().replace("\"r1\"", "7"));
        texts.put("two\nlines", good());
        texts.put("not-ascii-\u00e9", good());
        Map<String, byte[]> values = new LinkedHashMap<>();
        texts.forEach((id, text) -> values.put(id, text.getBytes(StandardCharsets.UTF_8)));
        byte[] invalid = good().getBytes(StandardCharsets.UTF_8);
        invalid[good().indexOf("z1")] = (byte) 0xc3;
        values.put("invalid-utf8", invalid);
        values.put("binary", new byte[] {0, (byte) 0xff, (byte) 0xfe, 1});
        return values;
    }

    private static String good() {
        return ENTRY.formatted(GOOD_ADDRESS, 1, 8_000);
    }

    private void assertJobRuns(int daemon) throws InterruptedException {
        String id = "%016x".formatted(++mLastJob);
        PlatformFleet.await(
                "job " + id + " is accepted",
                () -> mFleet.submit(daemon, id, TWO_TASKS).status().code() == 200);
        PlatformFleet.await(
                "job " + id + " completed",
                () -> mFleet.queryState(daemon, id).contentUtf8().contains("completed"));
    }

    private void assertFollowsNewTargets(int daemon) throws InterruptedException {
        String added = mFleet.platform().addTarget("service", "h2", 100);
        mFleet.platform().crashTarget(mFirstTarget);
        assertJobRuns(daemon);
        assertThat(mFleet.platform().starts(added)).isNotEmpty();
    }

    private String metrics() {
        AggregatedHttpResponse response =
                mFleet.client()
                        .get("http://127.0.0." + FIRST_ADDRESS_BYTE + ":9464/metrics")
                        .aggregate()
                        .join();
        return response.contentUtf8().replaceAll("\\.0\n", "\n");
    }

    private long countLines(String text) {
        try {
            return Files.readString(mDirectory.resolve("daemon-0.log"))
                    .lines()
                    .filter(line -> line.contains(text))
                    .count();
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the daemon's log", e);
        }
    }
}
