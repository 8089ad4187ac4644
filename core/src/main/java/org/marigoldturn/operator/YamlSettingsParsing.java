package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.SettingsError;

/**
 * Parses YAML until the parser of the settings package takes its place; reports the first error
 * only and does not check references between entries. Thread safe.
 */
public final class YamlSettingsParsing implements SettingsParsing {
    private static final ObjectMapper YAML =
            YAMLMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();

    @Override
    public Either<List<SettingsError>, FleetSettings> parse(byte[] yaml) {
        try {
            FleetSettings settings = YAML.readValue(yaml, FleetSettings.class);
            return settings == null
                    ? Either.left(List.of(new SettingsError("", 1, "the settings are empty")))
                    : Either.right(settings);
        } catch (JsonProcessingException e) {
            return Either.left(List.of(error(e)));
        } catch (IOException e) {
            return Either.left(List.of(new SettingsError("", 0, String.valueOf(e.getMessage()))));
        }
    }

    private static SettingsError error(JsonProcessingException e) {
        String path =
                e instanceof JsonMappingException mapping
                        ? mapping.getPath().stream()
                                .map(r -> r.getFieldName() == null ? "[]" : r.getFieldName())
                                .collect(Collectors.joining("/"))
                        : "";
        int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
        String message = e.getOriginalMessage().lines().findFirst().orElse("invalid YAML");
        return new SettingsError(path, line, message);
    }
}
