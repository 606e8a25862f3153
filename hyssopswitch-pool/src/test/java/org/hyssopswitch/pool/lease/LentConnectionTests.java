package org.hyssopswitch.pool.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.pool.peer.LeaseCommand;
import org.hyssopswitch.pool.peer.LeaseReply;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Statement;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestFleet;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** A fleet whose VMs outnumber the connections that an endpoint accepts. */
class LentConnectionTests {

    private static final int VMS = 40;
    private static final int CONNECTIONS = 12;
    private static final int ACCOUNTS = 8;

    private final TestFleet fleet = new TestFleet(VMS, CONNECTIONS, ACCOUNTS, true);

    @Test
    void usesAConnectionAgainForTheNextOperationOfItsAccountWhicheverVmItComesFrom() {
        int lending = connectionsOpenedBySpreadWrites(fleet);
        int eachForItself = connectionsOpenedBySpreadWrites(new TestFleet(VMS, CONNECTIONS, ACCOUNTS, false));
        assertTrue(lending <= 3 * ACCOUNTS, lending + " opened by lenders");
        assertTrue(eachForItself >= 5 * lending, eachForItself + " opened by VMs for themselves");
    }

    @Test
    void servesReadsAtReplicasWithAPositionThatTheLenderAskedFor() {
        List<FakeCaller> callers = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (int vm = 0; vm < VMS; vm++) {
                FakeCaller caller = fleet.caller(vm, TestPool.BOUNDED, vm);
                caller.read("r" + round + "-" + vm);
                callers.add(caller);
                fleet.advance(10);
            }
        }
        fleet.advance(300);
        callers.forEach(caller -> assertTrue(caller.last().succeeded()));
        int atReplicas =
                fleet.endpoint("e2").ran().size() + fleet.endpoint("e3").ran().size();
        assertTrue(atReplicas >= callers.size() / 2, atReplicas + " of " + callers.size());
    }

    @Test
    void runsATransactionOnOneConnectionAndReturnsIt() {
        int lender = fleet.lender("e1");
        FakeCaller caller = fleet.caller(other(lender), TestPool.LATEST, 1);
        caller.send("b", new Statement.Begin(false));
        caller.write("w1");
        fleet.advance(100);
        assertEquals(1, fleet.leases(lender));
        caller.write("w2");
        caller.send("c", new Statement.Commit("COMMIT"));
        fleet.advance(100);
        assertTrue(caller.last().succeeded());
        assertEquals(List.of("w1", "w2", "c"), fleet.endpoint("e1").ran());
        assertEquals(0, fleet.leases(lender));
    }

    @Test
    void rollsBackWhenACallerLeavesInsideATransaction() {
        int lender = fleet.lender("e1");
        FakeCaller caller = fleet.caller(other(lender), TestPool.LATEST, 1);
        caller.send("b", new Statement.Begin(false));
        caller.write("w1");
        fleet.advance(100);
        caller.disconnect();
        fleet.advance(100);
        assertEquals(0, fleet.leases(lender));
        FakeCaller next = fleet.caller(other(lender), TestPool.LATEST, 1);
        next.write("w2");
        fleet.advance(100);
        assertTrue(next.last().succeeded());
    }

    @Test
    void endsALeaseWhoseCommandWasLostInsteadOfRunningTheNextOneOutsideItsTransaction() {
        int vm = other(fleet.lender("e1"));
        FakeCaller caller = fleet.caller(vm, TestPool.LATEST, 1);
        caller.send("b", new Statement.Begin(false));
        fleet.network().dropNext(LeaseCommand.class);
        caller.write("w1");
        fleet.advance(500);
        caller.write("w2");
        fleet.advance(1_500);
        assertFalse(fleet.endpoint("e1").ran().contains("w2"));
        assertFalse(caller.last().succeeded());
    }

    @Test
    void tellsThatAWriteIsInDoubtWhenItsAnswerWasLost() {
        int vm = other(fleet.lender("e1"));
        FakeCaller warm = fleet.caller(vm, TestPool.LATEST, 1);
        warm.write("w0");
        fleet.advance(100);
        FakeCaller caller = fleet.caller(vm, TestPool.LATEST, 1);
        fleet.network().dropNext(LeaseReply.class);
        caller.write("w1");
        fleet.advance(1_500);
        assertTrue(List.of(ErrorCode.IN_DOUBT, ErrorCode.TIMEOUT).contains(caller.lastError()));
        assertEquals(1, fleet.endpoint("e1").ran().stream().filter("w1"::equals).count());
    }

    @Test
    void asksTheNextCandidateWhenTheLenderIsCutOff() {
        int lender = fleet.lender("e1");
        fleet.network().cut("vm-" + lender, true);
        FakeCaller caller = fleet.caller(other(lender), TestPool.LATEST, 1);
        caller.write("w1");
        fleet.advance(600);
        FakeCaller later = fleet.caller(other(lender), TestPool.LATEST, 1);
        later.write("w2");
        fleet.advance(100);
        assertTrue(later.last().succeeded());
    }

    @Test
    void asksTheNextCandidateAtOnceWhenTheLenderStops() {
        int lender = fleet.lender("e1");
        fleet.stopLending(lender);
        FakeCaller caller = fleet.caller(other(lender), TestPool.LATEST, 1);
        caller.write("w1");
        fleet.advance(100);
        assertTrue(caller.last().succeeded());
    }

    @Test
    void leavesItsConnectionsToTheNextLenderWhenItStops() {
        for (int account = 0; account < CONNECTIONS; account++) {
            fleet.caller(account, TestPool.LATEST, account).write("w" + account);
        }
        fleet.advance(400);
        int lender = fleet.lender("e1");
        fleet.stopLending(lender);
        fleet.advance(200);
        List<FakeCaller> callers = new ArrayList<>();
        for (int account = 0; account < ACCOUNTS; account++) {
            FakeCaller caller = fleet.caller(other(lender), TestPool.LATEST, account);
            caller.write("x" + account);
            callers.add(caller);
        }
        fleet.advance(100);
        callers.forEach(caller -> assertTrue(caller.last().succeeded()));
        assertEquals(0, fleet.endpoint("e1").refusedFull());
    }

    @Test
    void neverHoldsMoreConnectionsThanTheEndpointAcceptsUnderManyTransactions() {
        Random random = new Random(7);
        List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            FakeCaller caller = fleet.caller(random.nextInt(VMS), TestPool.LATEST, random.nextInt(ACCOUNTS));
            caller.send("b" + i, new Statement.Begin(false));
            caller.write("w" + i);
            callers.add(caller);
            fleet.advance(5);
        }
        fleet.advance(1_000);
        assertTrue(fleet.endpoint("e1").open() <= CONNECTIONS);
        callers.forEach(caller -> assertTrue(caller.replies().size() >= 2, "each statement must be answered"));
        long served =
                callers.stream().filter(caller -> caller.last().succeeded()).count();
        assertTrue(served >= CONNECTIONS * 3 / 4, served + " served");
    }

    @Test
    void keepsSessionValuesOfDifferentCallersApart() {
        int vm = other(fleet.lender("e1"));
        FakeCaller first = fleet.caller(vm, TestPool.LATEST, 1);
        first.send("s", new Statement.SetValue("name", "one"));
        first.prepareAndExecute("p1");
        fleet.advance(100);
        FakeCaller second = fleet.caller(vm, TestPool.LATEST, 1);
        second.prepareAndExecute("p2");
        fleet.advance(100);
        assertTrue(first.last().succeeded());
        assertTrue(second.last().succeeded());
        assertEquals(
                Map.of(),
                fleet.endpoint("e1").valuesAt("p2"),
                "a session must not see the values of the one before it on its connection");
        assertEquals(Map.of("name", "one"), fleet.endpoint("e1").valuesAt("p1"));
    }

    private int other(int vm) {
        return (vm + 1) % VMS;
    }

    private static int connectionsOpenedBySpreadWrites(TestFleet fleet) {
        for (int round = 0; round < 10; round++) {
            for (int vm = 0; vm < VMS; vm++) {
                fleet.caller(vm, TestPool.LATEST, vm).write("w" + round + "-" + vm);
                fleet.advance(20);
            }
        }
        fleet.advance(300);
        return fleet.endpoint("e1").opened();
    }
}
