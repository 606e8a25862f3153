package org.hyssopswitch.load.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class LoadAuditTests {

    private static final LedgerRequest FIRST = new LedgerRequest("orders", "app", "r1", 1);
    private static final LedgerRequest SECOND = new LedgerRequest("orders", "app", "r2", 2);

    private final LoadAudit audit = new LoadAudit();

    @Test
    void findsNothingWhenAcknowledgedRowsAreThereOnce() {
        send(Outcome.ACKNOWLEDGED, FIRST);
        send(Outcome.ACKNOWLEDGED, SECOND);
        audit.reconcile("orders", "app", List.of(SECOND, FIRST));
        assertEquals(Map.of(), audit.counts());
    }

    @Test
    void findsALostRow() {
        send(Outcome.ACKNOWLEDGED, FIRST);
        send(Outcome.ACKNOWLEDGED, SECOND);
        audit.reconcile("orders", "app", List.of(FIRST));
        assertEquals(Map.of(FindingKind.LOST, 1L), audit.counts());
    }

    @ParameterizedTest
    @EnumSource(names = {"ACKNOWLEDGED", "UNKNOWN"})
    void findsADoubledRow(Outcome outcome) {
        send(outcome, FIRST);
        audit.reconcile("orders", "app", List.of(FIRST, FIRST));
        assertEquals(Map.of(FindingKind.DOUBLED, 1L), audit.counts());
    }

    @Test
    void acceptsARowOfUnknownOutcomeInEitherState() {
        send(Outcome.UNKNOWN, FIRST);
        audit.issued(List.of(SECOND));
        audit.reconcile("orders", "app", List.of(FIRST));
        assertEquals(Map.of(), audit.counts());
    }

    @ParameterizedTest
    @EnumSource(names = {"RATE_REFUSED", "NOT_RUN", "FAILED"})
    void findsARefusedRowThatRan(Outcome outcome) {
        send(outcome, FIRST);
        audit.reconcile("orders", "app", List.of(FIRST));
        assertEquals(Map.of(FindingKind.UNTRUE_REFUSAL, 1L), audit.counts());
    }

    @ParameterizedTest
    @CsvSource({"orders, agency, r1, 1", "stock, app, r1, 1", "orders, app, r9, 1", "orders, app, r1, 2"})
    void findsARowThatWasNotSentThere(String database, String account, String request, long amount) {
        send(Outcome.ACKNOWLEDGED, FIRST);
        audit.reconcile("orders", "app", List.of(FIRST, new LedgerRequest(database, account, request, amount)));
        assertEquals(Map.of(FindingKind.CROSSED, 1L), audit.counts());
    }

    @Test
    void findsATransactionThatIsThereInPart() {
        audit.issued(List.of(FIRST, SECOND));
        audit.reconcile("orders", "app", List.of(SECOND));
        assertEquals(Map.of(FindingKind.PARTIAL, 1L), audit.counts());
    }

    @Test
    void leavesOtherLedgersAlone() {
        send(Outcome.ACKNOWLEDGED, FIRST);
        audit.reconcile("stock", "app", List.of());
        audit.reconcile("orders", "agency", List.of());
        assertEquals(Map.of(), audit.counts());
    }

    @ParameterizedTest
    @CsvSource({
        "q1, app/1/0, app/1/0#5, 5, ",
        "q1, app/1/0, app/1/0#6, 5, ",
        "q1, app/1/0, app/1/0#4, 5, STALE",
        "q2, app/1/0, app/1/0#5, 5, CROSSED",
        "q1, app/2/0, app/2/0#5, 5, CROSSED",
        "q1, app/1/0, app/2/0#5, 5, CROSSED",
        "q1, app/1/0, garbled, 0, CROSSED",
        "q1, app/1/0, app/1/0#x, 0, CROSSED",
    })
    void checksTheRowOfARead(String request, String key, String value, long floor, FindingKind expected) {
        ReadCheck.ReadAnswer answer = new ReadCheck.ReadAnswer(request, key, value);
        audit.read(new ReadCheck("q1", "app/1/0", floor, Optional.of(answer)));
        assertEquals(expected == null ? Map.of() : Map.of(expected, 1L), audit.counts());
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void findsAReadWithoutARowStaleWhenTheSessionWroteIt(long floor, boolean stale) {
        audit.read(new ReadCheck("q1", "app/1/0", floor, Optional.empty()));
        assertEquals(stale ? Map.of(FindingKind.STALE, 1L) : Map.of(), audit.counts());
    }

    private void send(Outcome outcome, LedgerRequest request) {
        audit.issued(List.of(request));
        audit.ended(List.of(request), outcome);
    }
}
