package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/**
 * Replays callers that retry while a group has no usable primary. Their refused operations used up the tokens of their
 * client account, so that it was beyond its rate once the primary was back.
 */
class TokenReturnTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    /** Operations that the client account may send before its rate matters; its rate adds next to nothing. */
    private static final int BURST = 5;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void keepsTheTokensOfOperationsRefusedWhileThePrimaryIsAway() {
        limitAccount();
        pool.endpoint("e1").crash();
        pool.advance(100);
        for (int i = 0; i < 3 * BURST; i++) {
            FakeCaller write = pool.connectCaller(TestPool.LATEST);
            write.write("refused" + i);
            FakeCaller transaction = pool.connectCaller(TestPool.LATEST);
            transaction.send("b", new CallerStatement.Begin(false));
            transaction.write("aborted" + i);
            pool.advance(300);
            assertEquals(ErrorCode.OVERLOADED, write.lastError());
            assertEquals(ErrorCode.ABORTED, transaction.lastError());
        }
        pool.endpoint("e1").restart();
        pool.advance(1_000);
        for (int i = 0; i < BURST; i++) {
            FakeCaller caller = pool.connectCaller(TestPool.LATEST);
            caller.write("served" + i);
            pool.advance(100);
            assertTrue(caller.lastReply().succeeded(), "operation " + i);
        }
    }

    @Test
    void spendsTheTokenOfAStatementThatWasSent() {
        limitAccount();
        pool.endpoint("e1").setOverloaded(true);
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        for (int i = 0; i <= BURST; i++) {
            caller.write("sent" + i);
            pool.advance(300);
        }
        List<Boolean> local = caller.replies().stream()
                .map(reply -> reply.toString().contains("beyond its rate"))
                .toList();
        assertEquals(List.of(false, false, false, false, false, true), local);
    }

    /** Gives the account a full burst, and then a rate of next to nothing. */
    private void limitAccount() {
        pool.connectCaller(TestPool.LATEST).write("warm");
        pool.advance(200);
        configure(1e6);
        pool.advance(100);
        configure(0.001);
    }

    private void configure(double perSecond) {
        Account account = new Account("small", Option.some(new Rate(perSecond, BURST)));
        pool.configure(TestPool.catalog(CONNECTIONS, Map.of(TestPool.KEY, account)), VMS);
    }
}
