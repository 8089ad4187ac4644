package org.marigoldturn.settings;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.util.Map;

/** Writes settings as YAML that {@link SettingsParser} reads back to equal settings. Stateless. */
public final class SettingsWriter {
    private static final ObjectMapper YAML =
            YAMLMapper.builder(
                            YAMLFactory.builder()
                                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                                    .disable(YAMLGenerator.Feature.SPLIT_LINES)
                                    .build())
                    .addModule(enumModule())
                    .build();

    private SettingsWriter() {}

    /** Returns the settings of the whole fleet as YAML. */
    public static String write(FleetSettings settings) {
        ObjectNode root = YAML.createObjectNode();
        section(root, "zones", settings.zones());
        section(root, "pools", settings.pools());
        section(root, "services", settings.services());
        section(root, "teams", settings.teams());
        section(root, "hosts", settings.hosts());
        if (!settings.policy().equals(FleetPolicy.DEFAULT)) {
            root.set(SettingsPaths.POLICY, YAML.valueToTree(settings.policy()));
        }
        return text(root);
    }

    /** Returns the fields of one entry as YAML, without its name. */
    public static String writeEntry(Record entry) {
        return text(fields(entry));
    }

    private static void section(
            ObjectNode root, String section, Map<String, ? extends Record> entries) {
        if (!entries.isEmpty()) {
            ObjectNode node = root.putObject(section);
            entries.forEach((name, entry) -> node.set(name, fields(entry)));
        }
    }

    private static ObjectNode fields(Record entry) {
        ObjectNode node = YAML.valueToTree(entry);
        node.remove("name");
        return node;
    }

    private static String text(ObjectNode node) {
        try {
            return YAML.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write settings", e);
        }
    }

    private static SimpleModule enumModule() {
        SimpleModule module = new SimpleModule();
        module.addSerializer(new EnumSerializer(HostState.class));
        module.addSerializer(new EnumSerializer(ZoneState.class));
        module.addSerializer(new EnumSerializer(TargetProtocol.class));
        module.addSerializer(new EnumSerializer(FleetPolicy.WaveStatus.class));
        return module;
    }

    /** Writes constants in the form that the parser reads. */
    private static final class EnumSerializer extends StdSerializer<Enum<?>> {
        private static final long serialVersionUID = 1L;

        EnumSerializer(Class<? extends Enum<?>> type) {
            super(type, false);
        }

        @Override
        public void serialize(Enum<?> value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(RecordBinder.enumText(value));
        }
    }
}
