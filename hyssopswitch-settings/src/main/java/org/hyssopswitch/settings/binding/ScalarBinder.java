package org.hyssopswitch.settings.binding;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.failure.HyssopException;

/** Binds single values. */
final class ScalarBinder {

    private static final Set<Class<?>> PLAIN = Set.of(
            String.class, int.class, long.class, double.class, boolean.class, URI.class, Path.class, Secret.class);
    private static final long MAX_SECRET_BYTES = 64L << 10;

    private final MistakeCollector mistakes;

    ScalarBinder(MistakeCollector mistakes) {
        this.mistakes = mistakes;
    }

    static boolean isScalar(Class<?> type) {
        return PLAIN.contains(type) || type.isEnum() || isIdentifier(type);
    }

    /** The node of a default value. */
    static JsonNode defaultNode(Class<?> type, String value) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (type == int.class || type == long.class) {
            return nodes.numberNode(Long.parseLong(value));
        }
        if (type == double.class) {
            return nodes.numberNode(Double.parseDouble(value));
        }
        return type == boolean.class ? nodes.booleanNode(Boolean.parseBoolean(value)) : nodes.textNode(value);
    }

    Optional<Object> bind(Class<?> type, JsonNode node, String path) {
        if (node.isMissingNode() || node.isNull()) {
            mistakes.add(path, "", "is required");
            return Optional.empty();
        }
        if (type == Secret.class) {
            return secret(node, path);
        }
        if (!node.isValueNode()) {
            mistakes.add(path, node, "must be a single value");
            return Optional.empty();
        }
        if (type == boolean.class) {
            return flag(node, path);
        }
        if (type == int.class || type == long.class || type == double.class) {
            return number(type, node, path);
        }
        return text(type, node, path);
    }

    /** Whether a type is a record of one string, such as an identifier. */
    private static boolean isIdentifier(Class<?> type) {
        if (!type.isRecord()) {
            return false;
        }
        RecordComponent[] components = type.getRecordComponents();
        return components.length == 1 && components[0].getType() == String.class;
    }

    private Optional<Object> flag(JsonNode node, String path) {
        return node.isBoolean() ? Optional.of(node.booleanValue()) : refuse(path, node, "must be true or false");
    }

    private Optional<Object> number(Class<?> type, JsonNode node, String path) {
        if (type == double.class) {
            return node.isNumber() && Double.isFinite(node.doubleValue())
                    ? Optional.of(node.doubleValue())
                    : refuse(path, node, "must be a number");
        }
        boolean fits = type == int.class ? node.canConvertToInt() : node.canConvertToLong();
        if (!node.isIntegralNumber() || !fits) {
            return refuse(path, node, "must be a whole number in range");
        }
        return Optional.of(type == int.class ? (Object) node.intValue() : (Object) node.longValue());
    }

    private Optional<Object> text(Class<?> type, JsonNode node, String path) {
        if (!node.isTextual()) {
            return refuse(path, node, "must be a string; put it in quotes");
        }
        String text = node.textValue();
        try {
            return Optional.of(convert(type, text));
        } catch (IllegalArgumentException e) {
            return refuse(path, node, String.valueOf(e.getMessage()));
        }
    }

    private static Object convert(Class<?> type, String text) {
        if (type == String.class) {
            return text;
        }
        if (type == URI.class) {
            return URI.create(text);
        }
        if (type == Path.class) {
            return Path.of(text);
        }
        return type.isEnum() ? constant(type, text) : identifier(type, text);
    }

    private static Object constant(Class<?> type, String text) {
        List<String> names = Arrays.stream(type.getEnumConstants())
                .map(c -> ((Enum<?>) c).name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        if (!names.contains(text)) {
            throw new IllegalArgumentException("must be one of " + names);
        }
        return type.getEnumConstants()[names.indexOf(text)];
    }

    private static Object identifier(Class<?> type, String text) {
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(String.class);
            return constructor.newInstance(text);
        } catch (InvocationTargetException e) {
            throw new IllegalArgumentException(e.getCause().getMessage(), e);
        } catch (ReflectiveOperationException e) {
            throw new HyssopException("cannot create " + type.getName(), e);
        }
    }

    private Optional<Object> secret(JsonNode node, String path) {
        if (node.isTextual()) {
            return Optional.of(new Secret(node.textValue()));
        }
        if (node.isObject() && node.size() == 1 && node.path("file").isTextual()) {
            return secretFile(Path.of(node.path("file").textValue()), path);
        }
        mistakes.add(path, "", "must be a string or a section with the field 'file'");
        return Optional.empty();
    }

    private Optional<Object> secretFile(Path file, String path) {
        try {
            if (Files.size(file) > MAX_SECRET_BYTES) {
                mistakes.add(path, file, "names a file of more than " + MAX_SECRET_BYTES + " bytes");
                return Optional.empty();
            }
            return Optional.of(new Secret(Files.readString(file).strip()));
        } catch (IOException e) {
            mistakes.add(path, file, "names a file that cannot be read");
            return Optional.empty();
        }
    }

    private Optional<Object> refuse(String path, JsonNode node, String reason) {
        mistakes.add(path, node.asText(), reason);
        return Optional.empty();
    }
}
