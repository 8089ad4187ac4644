package org.marigoldturn.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against settings altered by conversion to YAML or content, and unclear errors. */
class SettingsYamlProperties {
    @Provide
    Arbitrary<FleetSettings> fleets() {
        return SampleSettings.valid();
    }

    @Property(tries = 300, seed = "5")
    void settingsWrittenAsYamlAreParsedUnchanged(@ForAll("fleets") FleetSettings settings) {
        Either<List<SettingsError>, FleetSettings> read =
                SettingsParser.parse(SettingsWriter.write(settings));
        assertThat(read).isEqualTo(Either.right(settings));
    }

    @Property(tries = 300, seed = "6")
    void encodedSettingsAreDecodedUnchanged(@ForAll("fleets") FleetSettings settings) {
        Map<String, String> entries = new TreeMap<>();
        Map<String, byte[]> blobs = new HashMap<>();
        StateCodec.encode(settings, SampleSettings.members(2), RightsDivision.EMPTY)
                .forEach(
                        (path, content) -> {
                            entries.put(path, ContentHash.of(content));
                            blobs.put(ContentHash.of(content), content);
                        });
        Manifest manifest = new Manifest(1, "c", "a", 0, entries);
        Manifest read = StateCodec.decodeManifest(StateCodec.encodeManifest(manifest));
        assertThat(StateCodec.decode(read, blobs).settings()).isEqualTo(settings);
    }

    @Property(tries = 2_000, seed = "7")
    void damagedYamlResultsInClearErrors(
            @ForAll("fleets") FleetSettings settings, @ForAll Random random) {
        StringBuilder yaml = new StringBuilder(SettingsWriter.write(settings));
        String damage = "{}[]:,&*!|>'\"%@`#-?~\n\t \u0000\ud800x9<";
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            int at = random.nextInt(yaml.length() + 1);
            char c = damage.charAt(random.nextInt(damage.length()));
            if (random.nextBoolean() || at == yaml.length()) {
                yaml.insert(at, c);
            } else {
                yaml.setCharAt(at, c);
            }
        }
        SettingsParser.parse(yaml.toString())
                .peekLeft(
                        errors ->
                                assertThat(errors)
                                        .isNotEmpty()
                                        .allMatch(
                                                e ->
                                                        e.message().contains("expected")
                                                                || e.message().contains("must")
                                                                || e.message()
                                                                        .contains(
                                                                                "has no address")));
    }

    @Property(tries = 1_000, seed = "8")
    void parserNeverThrowsOnRandomText(@ForAll String text) {
        assertThat(SettingsParser.parse(text)).isNotNull();
        assertThat(SettingsParser.parseEntry("teams/a", text)).isNotNull();
    }

    @Example
    void allErrorsAreReportedAtOnceWithPathAndLine() {
        String yaml =
                """
                zones:
                  z1: {region: r1}
                pools:
                  desk: {spare: maybe}
                  desk: {}
                services:
                  entries: {pool: dusk, open: true, queueCapacity: 0}
                teams:
                  club: {name: club, shareWeight: 0, runningLimit: many}
                hosts:
                  h1: {pool: desk, zone: z2, address: 10.0.0.1, port: 80}
                  h2: {pool: desk, zone: z1, address: 10.0.0.1, port: 80}
                  h3:
                    pool: desk
                    zone: z1
                    address: not-an-ip
                    port: 99999
                    state: gone
                colour: red
                """;
        assertThat(SettingsParser.parse(yaml).getLeft())
                .extracting(e -> e.line() + " " + e.path())
                .containsExactlyInAnyOrder(
                        "4 pools/desk/spare",
                        "5 pools/desk",
                        "7 services/entries/queueCapacity",
                        "9 teams/club/name",
                        "9 teams/club/shareWeight",
                        "9 teams/club/runningLimit",
                        "11 hosts/h1/zone",
                        "12 hosts/h2/address",
                        "17 hosts/h3/port",
                        "18 hosts/h3/state",
                        "19 colour");
    }

    @Example
    void singleEntryIsParsedAsAnEdit() {
        SettingsEdit edit =
                SettingsParser.parseEntry("teams/club", "{shareWeight: 2, runningLimit: 5}").get();
        assertThat(edit)
                .isEqualTo(new SettingsEdit.PutTeam(new TeamSettings("club", 2, 5, List.of())));
        assertThat(SettingsParser.parseEntry("policy", "loanAfterMillis: 5").get().path())
                .isEqualTo("policy");
        assertThat(SettingsParser.parseEntry("policy", "costWeights: {moves: NaN}").getLeft())
                .extracting(SettingsError::path)
                .containsExactly("policy/costWeights/moves");
        assertThat(SettingsParser.parseEntry("system/rights", "{}").isLeft()).isTrue();
    }

    @Example
    void checkerRejectsValuesThatTheRecordsAccept() {
        FleetSettings settings =
                new FleetSettings(
                        Map.of(),
                        Map.of(),
                        Map.of("s", new ServiceSettings("s", "p", true, null, 0, -1, -1, 0, null)),
                        Map.of("x", SampleSettings.team("a.b", 1)),
                        Map.of(),
                        null);
        assertThat(SettingsChecker.check(settings))
                .extracting(SettingsError::path)
                .containsExactly(
                        "teams/x",
                        "services/s/pool",
                        "services/s/queueCapacity",
                        "services/s/defaultDeadlineMillis",
                        "teams/a.b");
    }
}
