package org.hyssopswitch.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.junit.jupiter.api.Test;

class CellReporterTests {

    private final List<Action> actions = new ArrayList<>();
    private final AtomicLong callNumbers = new AtomicLong();
    private final CellReporter reporter = new CellReporter(vm("a"), callNumbers::incrementAndGet);

    @Test
    void reportsTheLowestVersionOfTheCellAndWhoLags() {
        reporter.recordVersion(vm("b"), 7);
        reporter.recordVersion(vm("c"), 5);
        readThenWrite(0);
        assertEquals(
                "{\"cell\":\"r1\",\"dataCentre\":\"recife\",\"reporter\":\"a\",\"members\":3,\"version\":5,"
                        + "\"lagging\":[{\"vm\":\"c\",\"version\":5}]}",
                new String(update().value(), StandardCharsets.UTF_8));
    }

    @Test
    void writesOnlyWhenTheReportHasChanged() {
        readThenWrite(0);
        answer(Either.right(new StoredObject("status/cells/r1", 4, update().value())), 2_000);
        tick(true, 3_000);
        assertTrue(actions.isEmpty());
        reporter.recordVersion(vm("b"), 7);
        tick(true, 4_000);
        assertEquals(4, update().expectedVersion());
    }

    @Test
    void readsAgainAfterALostAnswerAndAfterAConflict() {
        readThenWrite(0);
        answer(Either.left(new PlatformFailure.NoAnswer("x", "lost")), 2_000);
        tick(true, 3_000);
        assertTrue(actions.isEmpty());
        readThenWrite(10_000);
        answer(Either.left(new PlatformFailure.VersionConflict("x", 9)), 12_000);
        tick(true, 13_000);
        assertInstanceOf(Action.ReadObject.class, actions.get(0));
    }

    @Test
    void onlyTheFirstRelayWrites() {
        tick(false, 1_000);
        assertTrue(actions.isEmpty());
    }

    private void readThenWrite(long nowMillis) {
        tick(true, nowMillis);
        assertInstanceOf(Action.ReadObject.class, actions.get(0));
        answer(Either.right(new StoredObject("status/cells/r1", 3, new byte[0])), nowMillis + 100);
        tick(true, nowMillis + 1_000);
    }

    private void answer(Either<PlatformFailure, StoredObject> result, long nowMillis) {
        reporter.handleAnswer(callNumbers.get(), result, nowMillis);
    }

    private void tick(boolean isFirstRelay, long nowMillis) {
        actions.clear();
        reporter.tick(isFirstRelay, 7, List.of(vm("b"), vm("c")), nowMillis, actions::add);
    }

    private Action.UpdateObject update() {
        return assertInstanceOf(Action.UpdateObject.class, actions.get(0));
    }

    private static VmAddress vm(String name) {
        return new VmAddress(new VmId(name), 1, new DataCentreId("recife"), new CellId("r1"), "127.0.0.1", 1);
    }
}
