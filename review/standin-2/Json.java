import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Map<String, Object> object(String text) {
        return asObject(new Json(text).value());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long number(Map<String, Object> object, String field) {
        Object value = object.get(field);
        return value == null ? 0 : ((Number) value).longValue();
    }

    static String text(Map<String, Object> object, String field) {
        Object value = object.get(field);
        return value == null ? "" : (String) value;
    }

    /** Returns a map of alternating names and values. */
    static Map<String, Object> of(Object... fields) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            object.put((String) fields[i], fields[i + 1]);
        }
        return object;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> field : map.entrySet()) {
                out.append(separator);
                write(field.getKey(), out);
                out.append(':');
                write(field.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 0x20) {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = mText.charAt(mAt);
        if (c == '{') {
            return readObject();
        }
        if (c == '[') {
            return readList();
        }
        if (c == '"') {
            return readText();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        mAt++;
        skipSpace();
        while (mText.charAt(mAt) != '}') {
            String name = readText();
            skipSpace();
            mAt++;
            object.put(name, value());
            skipComma();
        }
        mAt++;
        return object;
    }

    private List<Object> readList() {
        List<Object> list = new ArrayList<>();
        mAt++;
        skipSpace();
        while (mText.charAt(mAt) != ']') {
            list.add(value());
            skipComma();
        }
        mAt++;
        return list;
    }

    private String readText() {
        StringBuilder text = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char escaped = mText.charAt(mAt++);
            switch (escaped) {
                case 'n' -> text.append('\n');
                case 'r' -> text.append('\r');
                case 't' -> text.append('\t');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                    mAt += 4;
                }
                default -> text.append(escaped);
            }
        }
        mAt++;
        return text.toString();
    }

    private void skipComma() {
        skipSpace();
        if (mText.charAt(mAt) == ',') {
            mAt++;
            skipSpace();
        }
    }

    private void skipSpace() {
        while (mAt < mText.length() && mText.charAt(mAt) <= ' ') {
            mAt++;
        }
    }
}
