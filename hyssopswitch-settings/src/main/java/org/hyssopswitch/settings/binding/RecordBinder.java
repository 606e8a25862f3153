package org.hyssopswitch.settings.binding;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibernate.validator.HibernateValidator;
import org.hyssopswitch.core.failure.HyssopException;

/**
 * Binds a tree to a record, strictly and to the end: unknown and missing fields, wrong types, violated Bean Validation
 * constraints and values that a constructor refuses are all collected.
 */
public final class RecordBinder {

    private static final Validator VALIDATOR = Validation.byProvider(HibernateValidator.class)
            .configure()
            .defaultLocale(Locale.ENGLISH)
            .buildValidatorFactory()
            .getValidator();

    private final MistakeCollector mistakes;
    private final ScalarBinder scalars;

    /**
     * Creates a binder.
     *
     * @param mistakes takes the mistakes
     */
    public RecordBinder(MistakeCollector mistakes) {
        this.mistakes = mistakes;
        this.scalars = new ScalarBinder(mistakes);
    }

    /**
     * Binds a tree to a record.
     *
     * @param <T> the record
     * @param type class of the record
     * @param node the tree
     * @param path path of the tree in its file
     * @return the record, or nothing after a mistake
     */
    public <T> Optional<T> bind(Class<T> type, JsonNode node, String path) {
        return bindRecord(type, node, path).map(type::cast);
    }

    private Optional<Object> bindRecord(Class<?> type, JsonNode node, String path) {
        JsonNode fields = node.isMissingNode() || node.isNull() ? JsonNodeFactory.instance.objectNode() : node;
        if (!fields.isObject()) {
            mistakes.add(path, fields, "must be a section of fields");
            return Optional.empty();
        }
        RecordComponent[] components = type.getRecordComponents();
        reportUnknown(components, fields, path);
        List<Object> values = new ArrayList<>();
        for (RecordComponent component : components) {
            bindComponent(type, component, fields, path).ifPresent(values::add);
        }
        return values.size() == components.length ? create(type, values, path) : Optional.empty();
    }

    private void reportUnknown(RecordComponent[] components, JsonNode fields, String path) {
        Set<String> known =
                Arrays.stream(components).map(RecordComponent::getName).collect(Collectors.toSet());
        fields.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                mistakes.add(
                        join(path, name),
                        "",
                        "is unknown; known here are " + known.stream().sorted().toList());
            }
        });
    }

    private Optional<Object> bindComponent(Class<?> owner, RecordComponent component, JsonNode fields, String path) {
        String name = component.getName();
        String fieldPath = join(path, name);
        Optional<Object> bound = bindType(component.getGenericType(), valueOf(component, fields), fieldPath);
        if (bound.isEmpty()) {
            return Optional.empty();
        }
        Object value = bound.get();
        List<String> violations = VALIDATOR.validateValue(owner, name, value).stream()
                .map(v -> v.getMessage())
                .sorted()
                .toList();
        violations.forEach(v -> mistakes.add(fieldPath, value, v));
        return violations.isEmpty() ? bound : Optional.empty();
    }

    private static JsonNode valueOf(RecordComponent component, JsonNode fields) {
        JsonNode given = fields.path(component.getName());
        DefaultValue byDefault = component.getAnnotation(DefaultValue.class);
        boolean missing = given.isMissingNode() || given.isNull();
        return missing && byDefault != null ? ScalarBinder.defaultNode(component.getType(), byDefault.value()) : given;
    }

    private Optional<Object> bindType(Type type, JsonNode node, String path) {
        if (type instanceof ParameterizedType generic) {
            Type element = generic.getActualTypeArguments()[0];
            return generic.getRawType() == List.class
                    ? bindList(element, node, path)
                    : bindOptional(element, node, path);
        }
        Class<?> plain = (Class<?>) type;
        if (ScalarBinder.isScalar(plain)) {
            return scalars.bind(plain, node, path);
        }
        return bindRecord(plain, node, path);
    }

    private Optional<Object> bindOptional(Type element, JsonNode node, String path) {
        if (node.isMissingNode() || node.isNull()) {
            return Optional.of(Optional.empty());
        }
        return bindType(element, node, path).map(Optional::of);
    }

    private Optional<Object> bindList(Type element, JsonNode node, String path) {
        if (node.isMissingNode() || node.isNull()) {
            return Optional.of(List.of());
        }
        if (!node.isArray()) {
            mistakes.add(path, node, "must be a list");
            return Optional.empty();
        }
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            JsonNode item = node.get(i).isNull() ? MissingNode.getInstance() : node.get(i);
            bindType(element, item, path + "[" + i + "]").ifPresent(values::add);
        }
        return values.size() == node.size() ? Optional.of(values) : Optional.empty();
    }

    private Optional<Object> create(Class<?> type, List<Object> values, String path) {
        Class<?>[] types = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class[]::new);
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return Optional.of(constructor.newInstance(values.toArray()));
        } catch (InvocationTargetException e) {
            mistakes.add(path, "", String.valueOf(e.getCause().getMessage()));
            return Optional.empty();
        } catch (ReflectiveOperationException e) {
            throw new HyssopException("cannot create " + type.getName(), e);
        }
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
