package org.marigoldturn.settings;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Builds settings records from YAML nodes and collects all errors. Confined to one thread.
 *
 * <p>The name of an entry is its key in the section; it must not be repeated among the fields.
 */
final class RecordBinder {
    private static final String NAME = "name";

    private final List<SettingsError> mErrors;

    RecordBinder(List<SettingsError> errors) {
        mErrors = errors;
    }

    /**
     * Builds the entry at {@code path}.
     *
     * @param section section whose field ranges apply
     * @param name name of the entry, or null if the record has none
     * @return the record, or empty if errors were added
     */
    <R extends Record> Optional<R> bind(
            Class<R> type, String section, String path, String name, YamlTree.Node node) {
        if (node instanceof YamlTree.Scalar scalar && scalar.text() == null && name != null) {
            node = new YamlTree.Mapping(scalar.line(), Map.of());
        }
        if (!(node instanceof YamlTree.Mapping mapping)) {
            addError(path, node.line(), "expected a mapping");
            return Optional.empty();
        }
        int errorsBefore = mErrors.size();
        RecordComponent[] components = type.getRecordComponents();
        rejectUnknown(components, path, name, mapping);
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            String field = components[i].getName();
            boolean isName = field.equals(NAME) && name != null;
            YamlTree.Node value = isName ? null : mapping.values().get(field);
            values[i] =
                    isName
                            ? name
                            : value == null
                                    ? defaultValue(components[i].getType())
                                    : value(components[i], section, path + "/" + field, value);
        }
        return mErrors.size() > errorsBefore
                ? Optional.empty()
                : construct(type, components, values, path, mapping.line());
    }

    private void rejectUnknown(
            RecordComponent[] components, String path, String name, YamlTree.Mapping mapping) {
        TreeSet<String> known = new TreeSet<>();
        Arrays.stream(components).map(RecordComponent::getName).forEach(known::add);
        if (name != null) {
            known.remove(NAME);
        }
        mapping.values()
                .forEach(
                        (key, value) -> {
                            if (!known.contains(key)) {
                                addError(
                                        path + "/" + key,
                                        value.line(),
                                        "expected one of " + known + ", found \"" + key + "\"");
                            }
                        });
    }

    private <R extends Record> Optional<R> construct(
            Class<R> type, RecordComponent[] components, Object[] values, String path, int line) {
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            Constructor<R> constructor = type.getDeclaredConstructor(types);
            return Optional.of(constructor.newInstance(values));
        } catch (InvocationTargetException e) {
            addError(path, line, String.valueOf(e.getCause().getMessage()));
            return Optional.empty();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot construct " + type, e);
        }
    }

    private Object value(
            RecordComponent component, String section, String path, YamlTree.Node node) {
        Class<?> type = component.getType();
        if (type == List.class) {
            return list(component, section, path, node);
        }
        if (type == Map.class) {
            return map(component, section, path, node);
        }
        if (type.isRecord()) {
            return bind(type.asSubclass(Record.class), section, path, null, node).orElse(null);
        }
        if (!(node instanceof YamlTree.Scalar scalar)) {
            addError(path, node.line(), "expected a single value");
            return defaultValue(type);
        }
        return scalar(type, section, component.getName(), path, scalar);
    }

    private Object scalar(
            Class<?> type, String section, String field, String path, YamlTree.Scalar scalar) {
        String text = scalar.text();
        if (text == null) {
            addError(path, scalar.line(), "expected a value, found none");
            return defaultValue(type);
        }
        if (type == String.class) {
            return text;
        }
        if (type == boolean.class) {
            if (!text.equals("true") && !text.equals("false")) {
                addError(path, scalar.line(), "expected true or false, found \"" + text + "\"");
            }
            return text.equals("true");
        }
        if (type == double.class) {
            return decimal(path, scalar);
        }
        return type.isEnum()
                ? constant(type, path, scalar)
                : number(type, section, field, path, scalar);
    }

    private Object number(
            Class<?> type, String section, String field, String path, YamlTree.Scalar scalar) {
        long value;
        try {
            value =
                    type == long.class
                            ? Long.parseLong(scalar.text())
                            : Integer.parseInt(scalar.text());
        } catch (NumberFormatException e) {
            addError(path, scalar.line(), "expected an integer, found \"" + scalar.text() + "\"");
            return defaultValue(type);
        }
        FieldRanges.Range range = FieldRanges.of(section, field);
        if (!range.contains(value)) {
            addError(path, scalar.line(), SettingsChecker.rangeMessage(range, value));
        }
        return type == long.class ? (Object) value : (Object) (int) value;
    }

    private Object constant(Class<?> type, String path, YamlTree.Scalar scalar) {
        List<String> expected = new ArrayList<>();
        for (Object constant : type.getEnumConstants()) {
            String text = enumText((Enum<?>) constant);
            if (text.equals(scalar.text())) {
                return constant;
            }
            expected.add(text);
        }
        addError(
                path,
                scalar.line(),
                "expected one of " + expected + ", found \"" + scalar.text() + "\"");
        return null;
    }

    private Object list(
            RecordComponent component, String section, String path, YamlTree.Node node) {
        if (!(node instanceof YamlTree.Sequence sequence)) {
            addError(path, node.line(), "expected a sequence");
            return List.of();
        }
        Type element = ((ParameterizedType) component.getGenericType()).getActualTypeArguments()[0];
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < sequence.values().size(); i++) {
            YamlTree.Node item = sequence.values().get(i);
            String itemPath = path + "/" + i;
            if (element == TeamKey.class) {
                bind(TeamKey.class, section, itemPath, null, item).ifPresent(values::add);
            } else if (item instanceof YamlTree.Scalar scalar) {
                Class<?> type = element == Integer.class ? int.class : String.class;
                Object value = scalar(type, section, component.getName(), itemPath, scalar);
                if (value != null) {
                    values.add(value);
                }
            } else {
                addError(itemPath, item.line(), "expected a single value");
            }
        }
        return values;
    }

    private Object map(RecordComponent component, String section, String path, YamlTree.Node node) {
        if (!(node instanceof YamlTree.Mapping mapping)) {
            addError(path, node.line(), "expected a mapping");
            return Map.of();
        }
        Type element = ((ParameterizedType) component.getGenericType()).getActualTypeArguments()[1];
        Class<?> type = element == Long.class ? long.class : String.class;
        Map<String, Object> values = new TreeMap<>();
        mapping.values()
                .forEach(
                        (key, value) -> {
                            String keyPath = path + "/" + key;
                            if (value instanceof YamlTree.Scalar scalar) {
                                String field = component.getName();
                                values.put(key, scalar(type, section, field, keyPath, scalar));
                            } else {
                                addError(keyPath, value.line(), "expected a single value");
                            }
                        });
        return values;
    }

    private Object decimal(String path, YamlTree.Scalar scalar) {
        double value;
        try {
            value = Double.parseDouble(scalar.text());
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (!Double.isFinite(value)) {
            addError(path, scalar.line(), "expected a number, found \"" + scalar.text() + "\"");
            return 0.0;
        }
        return value;
    }

    /** Returns the YAML text of a constant, such as {@code in-service}. */
    static String enumText(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Object defaultValue(Class<?> type) {
        if (type == int.class) {
            return 0;
        }
        if (type == long.class) {
            return 0L;
        }
        if (type == double.class) {
            return 0.0;
        }
        return type == boolean.class ? (Object) false : null;
    }

    private void addError(String path, int line, String message) {
        mErrors.add(new SettingsError(path, line, message));
    }
}
