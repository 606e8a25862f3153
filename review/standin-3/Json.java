import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            out.append(map.isEmpty() ? "{" : "");
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "[";
            out.append(list.isEmpty() ? "[" : "");
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            string.chars().forEach(c -> {
                if (c == '"' || c == '\\') {
                    out.append('\\').append((char) c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", c));
                } else {
                    out.append((char) c);
                }
            });
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipBlanks();
        char first = text.charAt(at);
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next('}')) {
                String name = string();
                skipBlanks();
                at++;
                map.put(name, value());
            }
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next(']')) {
                list.add(value());
            }
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    /** Returns whether another element follows; otherwise skips the end. */
    private boolean next(char end) {
        skipBlanks();
        if (text.charAt(at) == ',') {
            at++;
            skipBlanks();
        }
        if (text.charAt(at) == end) {
            at++;
            return false;
        }
        return true;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private void skipBlanks() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }
}
