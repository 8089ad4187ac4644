package org.marigoldturn;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.marigoldturn.daemon.EntryConfig;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.TeamKey;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.ZoneSettings;

/** Guards against differences between the settings and their list in docs/settings.md. */
class SettingsPageTest {
    private static final Path PAGE = Path.of("../docs/settings.md");
    private static final Pattern FIELD = Pattern.compile("\\| `(\\w+)` \\|.*");

    @Example
    void pageListsTheFieldsOfEachRecord() throws IOException {
        Map<String, List<String>> fields = fieldsByHeading();
        assertThat(fields.get("zones")).isEqualTo(components(ZoneSettings.class, true));
        assertThat(fields.get("pools")).isEqualTo(components(PoolSettings.class, true));
        assertThat(fields.get("services")).isEqualTo(components(ServiceSettings.class, true));
        assertThat(fields.get("teams")).isEqualTo(components(TeamSettings.class, true));
        assertThat(fields.get("keys of a team")).isEqualTo(components(TeamKey.class, false));
        assertThat(fields.get("hosts")).isEqualTo(components(HostSettings.class, true));
        assertThat(fields.get("policy")).isEqualTo(components(FleetPolicy.class, false));
        assertThat(fields.get("costWeights of the policy"))
                .isEqualTo(components(FleetPolicy.CostWeights.class, false));
        assertThat(fields.get("wave of the policy"))
                .isEqualTo(components(FleetPolicy.WaveProgress.class, false));
        assertThat(fields.get("Daemon configuration file"))
                .isEqualTo(components(EntryConfig.class, false));
        assertThat(fields.get("tls of a daemon"))
                .isEqualTo(components(EntryConfig.TlsConfig.class, false));
    }

    private static Map<String, List<String>> fieldsByHeading() throws IOException {
        Map<String, List<String>> fields = new TreeMap<>();
        String heading = "";
        for (String line : Files.readAllLines(PAGE)) {
            if (line.startsWith("#")) {
                heading = line.replaceFirst("#+ ", "");
            }
            Matcher row = FIELD.matcher(line);
            if (row.matches()) {
                fields.computeIfAbsent(heading, h -> new ArrayList<>()).add(row.group(1));
            }
        }
        return fields;
    }

    private static List<String> components(Class<?> type, boolean named) {
        return Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getName)
                .filter(name -> !named || !name.equals("name"))
                .toList();
    }
}
