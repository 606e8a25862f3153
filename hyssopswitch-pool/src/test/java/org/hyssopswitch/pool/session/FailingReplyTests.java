package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.Map;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against a caller whose refusal fails and who thereby costs the callers behind it their decisions. */
class FailingReplyTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void refusesTheOperationsBehindOneWhoseRefusalFails() {
        pool.configure(
                TestPool.catalog(
                        CONNECTIONS, Map.of(TestPool.KEY, new Account("new", Option.some(new Rate(0.001, 1))))),
                VMS);
        FailingLink failing = new FailingLink();
        CallerSession session = pool.sessions().accept(failing);
        session.start(TestPool.LATEST, TestPool.KEY);
        session.statementReceived("first", new CallerStatement.Read("READ a"));
        FakeCaller behind = pool.connectCaller(TestPool.LATEST);
        behind.read("behind");
        // The limit is removed while both wait for a token, so they are refused together.
        pool.configure(TestPool.catalog(CONNECTIONS, Map.of(TestPool.KEY, new Account("new", Option.none()))), VMS);
        assertTrue(failing.closed);
        assertEquals(ErrorCode.OVERLOADED, behind.lastError());
    }

    private static final class FailingLink implements CallerLink {

        private boolean closed;

        @Override
        public void acceptSession() {}

        @Override
        public void reply(Reply reply) {
            throw new IllegalStateException("the reply cannot be sent");
        }

        @Override
        public void refuseSession(ErrorCode code, String text) {}

        @Override
        public void close() {
            closed = true;
        }
    }
}
