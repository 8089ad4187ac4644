package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, lists are lists, whole numbers are longs. */
final class Json {
    private final String mText;
    private int mPos;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.mPos != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) parse(text);
    }

    /** Builds an object from names and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static long number(Map<String, Object> map, String name) {
        return map.get(name) instanceof Number n ? n.longValue() : 0;
    }

    static String text(Map<String, Object> map, String name) {
        return map.get(name) instanceof String s ? s : "";
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> l ? (List<Object>) l : List.of();
    }

    private void space() {
        while (mPos < mText.length() && Character.isWhitespace(mText.charAt(mPos))) {
            mPos++;
        }
    }

    private Object value() {
        space();
        char c = mText.charAt(mPos);
        if (c == '{') {
            mPos++;
            Map<String, Object> map = new LinkedHashMap<>();
            space();
            while (mText.charAt(mPos) != '}') {
                space();
                String name = string();
                space();
                mPos++;
                map.put(name, value());
                space();
                if (mText.charAt(mPos) == ',') {
                    mPos++;
                    space();
                }
            }
            mPos++;
            return map;
        }
        if (c == '[') {
            mPos++;
            List<Object> list = new ArrayList<>();
            space();
            while (mText.charAt(mPos) != ']') {
                list.add(value());
                space();
                if (mText.charAt(mPos) == ',') {
                    mPos++;
                    space();
                }
            }
            mPos++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mPos;
        while (mPos < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mPos)) < 0) {
            mPos++;
        }
        String word = mText.substring(start, mPos);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        mPos++;
        while (mText.charAt(mPos) != '"') {
            char c = mText.charAt(mPos++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = mText.charAt(mPos++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mPos, mPos + 4), 16));
                    mPos += 4;
                }
                default -> out.append(e);
            }
        }
        mPos++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(first ? "" : ",");
                first = false;
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            boolean first = true;
            for (Object item : list) {
                out.append(first ? "" : ",");
                first = false;
                write(item, out);
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append("\\u%04x".formatted((int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
