package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Connections of many client accounts to an endpoint that accepts few connections from all VMs together. */
class ConnectionUseTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;
    private static final int ACCOUNTS = 8;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void closesIdleConnectionsBeyondItsShareOfAPrimary() {
        configureAccounts();
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < ACCOUNTS; i++) {
                new FakeCaller(pool.sessions(), TestPool.LATEST, "key-" + i).read("r");
                pool.advance(100);
            }
        }
        pool.advance(200);
        assertTrue(
                pool.endpoint("e1").openConnections() <= CONNECTIONS / VMS,
                pool.endpoint("e1").openConnections() + " open");
    }

    @Test
    void opensMoreThanItsShareWhileAllAreInTransactions() {
        configureAccounts();
        List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            FakeCaller caller = new FakeCaller(pool.sessions(), TestPool.READ_YOUR_WRITES, "key-" + i);
            caller.send("b", new CallerStatement.Begin(false));
            caller.write("w" + i);
            callers.add(caller);
        }
        pool.advance(150);
        callers.forEach(caller -> assertTrue(caller.lastReply().succeeded()));
        assertEquals(ACCOUNTS, pool.endpoint("e1").openConnections());
        callers.forEach(caller -> caller.send("r", new CallerStatement.Rollback()));
        pool.advance(400);
        assertTrue(
                pool.endpoint("e1").openConnections() <= CONNECTIONS / VMS,
                pool.endpoint("e1").openConnections() + " open");
    }

    @Test
    void reportsAShortageWhenAConnectionOfItsShareIsRefused() {
        TestPool full = new TestPool(CONNECTIONS, VMS);
        full.endpoint("e1").setConnectionsExhausted(true);
        full.connectCaller(TestPool.LATEST).read("r1");
        full.advance(200);
        assertTrue(full.shortages().contains("e1"));
        full.endpoint("e1").setConnectionsExhausted(false);
        FakeCaller later = full.connectCaller(TestPool.LATEST);
        later.read("r2");
        full.advance(200);
        assertTrue(later.lastReply().succeeded());
    }

    private void configureAccounts() {
        Map<String, Account> accounts = new HashMap<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.put("key-" + i, TestPool.account("account-" + i));
        }
        pool.configure(TestPool.catalog(CONNECTIONS, accounts), VMS);
        pool.advance(100);
    }
}
