package org.hyssopswitch.bench.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationExchangeTests {

    @Test
    void theEncodingInUseNeedsTheLeastBytesAndOneRound() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ConfigurationExchange.print(new PrintStream(bytes, true, StandardCharsets.UTF_8), List.of(3, 30), 5);
        List<String> rows = bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains("SubtreeDelta"))
                .toList();
        assertEquals(4, rows.size());
        rows.forEach(r -> assertTrue(r.contains("| 1 |") && r.endsWith("| 1.0 |"), r));
    }
}
