package org.hyssopswitch.proxy.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;
import org.junit.jupiter.api.Test;

/** The page of refusals says what the code does. */
class RefusalPageTests {

    private static final Path PAGE = Path.of("..", "docs", "REFUSALS.md");
    private static final Map<Class<?>, Object> SAMPLES = Map.of(
            ClientAccountId.class, new ClientAccountId("mare-alta.school"),
            DatabaseId.class, new DatabaseId("mare-alta.certificates"),
            RouteId.class, new RouteId("validity"),
            String.class, "x",
            long.class, 250L);

    @Test
    void listsEveryRefusalWithItsStateMessageAndExecution() throws Exception {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .filter(l -> l.startsWith("| `"))
                .map(l -> l.substring(0, l.lastIndexOf('|', l.length() - 2)).strip())
                .sorted()
                .toList();
        List<String> expected = Arrays.stream(Refusal.class.getPermittedSubclasses())
                .map(RefusalPageTests::row)
                .sorted()
                .toList();
        assertEquals(expected, rows);
    }

    private static String row(Class<?> type) {
        Refusal refusal = sample(type);
        String execution = refusal.execution().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return "| `" + type.getSimpleName() + "` | " + refusal.sqlState() + " | " + refusal.describe() + " | "
                + execution;
    }

    private static Refusal sample(Class<?> type) {
        try {
            Class<?>[] types = Arrays.stream(type.getRecordComponents())
                    .map(RecordComponent::getType)
                    .toArray(Class<?>[]::new);
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            return (Refusal) constructor.newInstance(
                    Arrays.stream(types).map(SAMPLES::get).toArray());
        } catch (ReflectiveOperationException e) {
            throw new LinkageError(type.getName(), e);
        }
    }
}
