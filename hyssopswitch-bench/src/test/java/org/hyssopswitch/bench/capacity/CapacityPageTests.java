package org.hyssopswitch.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hyssopswitch.bench.slope.SlopeTable;
import org.junit.jupiter.api.Test;

class CapacityPageTests {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void theCommittedPageIsWhatTheCommittedSlopesGive() throws IOException {
        List<String> committed = Files.readAllLines(DOCS.resolve("CAPACITY.md"));
        assertEquals(new CapacityPage(slopes(), target()).lines(), committed);
    }

    @Test
    void everyMeasuredSlopeHasThreeSizesOrMore() throws IOException {
        assertFalse(slopes().slopes().isEmpty());
        slopes().slopes().forEach(s -> assertTrue(s.samples().size() >= 3, s.id()));
    }

    @Test
    void aLineWithoutItsSlopeIsReportedAsNotMeasured() throws IOException {
        List<String> lines = new CapacityPage(
                        new SlopeTable(List.of(slopes().find("home.bytes").orElseThrow())), target())
                .lines();
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("* share holder: renewals")));
    }

    @Test
    void aLineBeyondItsLimitIsNamedFirst() throws IOException {
        List<String> lines = new CapacityPage(slopes(), target()).lines();
        long beyond = new RoleModel(slopes(), target())
                .lines().stream().filter(CapacityLine::exceeds).count();
        int first = lines.indexOf("## What does not fit");
        int next = lines.indexOf("## What has not been measured");
        assertTrue(first > 0 && next > first);
        assertTrue(lines.subList(first, next).stream()
                        .filter(l -> l.contains(" times | "))
                        .count()
                >= beyond);
    }

    private static SlopeTable slopes() throws IOException {
        return SlopeTable.decode(Files.readAllLines(DOCS.resolve("capacity").resolve("slopes.csv")));
    }

    private static Target target() throws IOException {
        return new Target(Files.readAllLines(DOCS.resolve("capacity").resolve("target.csv")));
    }
}
