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
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.hyssopswitch.pool.testing.TestPoolFleet;
import org.junit.jupiter.api.Test;

/** A fleet whose VMs outnumber the connections that an endpoint accepts. */
class LentConnectionTests {

    private static final int VMS = 40;
    private static final int CONNECTIONS = 12;
    private static final int ACCOUNTS = 8;

    private final TestPoolFleet fleet = new TestPoolFleet(VMS, CONNECTIONS, ACCOUNTS, true);

    @Test
    void reusesAConnectionForTheNextOperationOfItsAccountFromAnyVm() {
        int lending = connectionsOpenedBySpreadWrites(fleet);
        int withoutLending = connectionsOpenedBySpreadWrites(new TestPoolFleet(VMS, CONNECTIONS, ACCOUNTS, false));
        assertTrue(lending <= 3 * ACCOUNTS, lending + " opened by lenders");
        assertTrue(withoutLending >= 5 * lending, withoutLending + " opened by VMs for themselves");
    }

    @Test
    void servesReadsAtReplicasWithAPositionFromTheLender() {
        List<FakeCaller> callers = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (int vm = 0; vm < VMS; vm++) {
                FakeCaller caller = fleet.connectCaller(vm, TestPool.BOUNDED, vm);
                caller.read("r" + round + "-" + vm);
                callers.add(caller);
                fleet.advance(10);
            }
        }
        fleet.advance(300);
        callers.forEach(caller -> assertTrue(caller.lastReply().succeeded()));
        int atReplicas = fleet.endpoint("e2").executedStatements().size()
                + fleet.endpoint("e3").executedStatements().size();
        assertTrue(atReplicas >= callers.size() / 2, atReplicas + " of " + callers.size());
    }

    @Test
    void servesWithoutDelayWhenALenderFallsSilentThatAnnouncedItsStop() {
        assertFalse(writesAtOnceAfterASilentStop(false), "a borrower must notice the loss by a timeout");
        assertTrue(writesAtOnceAfterASilentStop(true), "a borrower must not ask a VM that announced its stop");
    }

    private boolean writesAtOnceAfterASilentStop(boolean announced) {
        TestPoolFleet stopping = new TestPoolFleet(VMS, CONNECTIONS, ACCOUNTS, true);
        int lender = stopping.lenderIndex("e1");
        int vm = other(lender);
        stopping.connectCaller(vm, TestPool.LATEST, 1).write("before");
        stopping.advance(300);
        if (announced) {
            stopping.announceStop(lender, 8_000);
        }
        stopping.stopLending(lender);
        stopping.advance(200);
        stopping.network().setPartitioned("vm-" + lender, true);
        stopping.advance(4_000);
        FakeCaller caller = stopping.connectCaller(vm, TestPool.LATEST, 1);
        caller.write("after");
        stopping.advance(100);
        return !caller.replies().isEmpty() && caller.lastReply().succeeded();
    }

    @Test
    void runsATransactionOnOneConnectionAndReturnsIt() {
        int lender = fleet.lenderIndex("e1");
        FakeCaller caller = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        fleet.advance(100);
        assertEquals(1, fleet.leaseCount(lender));
        caller.write("w2");
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        fleet.advance(100);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(List.of("w1", "w2", "c"), fleet.endpoint("e1").executedStatements());
        assertEquals(0, fleet.leaseCount(lender));
    }

    @Test
    void rollsBackWhenACallerDisconnectsInsideATransaction() {
        int lender = fleet.lenderIndex("e1");
        FakeCaller caller = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        fleet.advance(100);
        caller.disconnect();
        fleet.advance(100);
        assertEquals(0, fleet.leaseCount(lender));
        FakeCaller next = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        next.write("w2");
        fleet.advance(100);
        assertTrue(next.lastReply().succeeded());
    }

    @Test
    void endsALeaseAfterALostCommandInsteadOfRunningTheNextOneOutsideItsTransaction() {
        int vm = other(fleet.lenderIndex("e1"));
        FakeCaller caller = fleet.connectCaller(vm, TestPool.LATEST, 1);
        caller.send("b", new CallerStatement.Begin(false));
        fleet.network().dropNext(LeaseCommand.class);
        caller.write("w1");
        fleet.advance(500);
        caller.write("w2");
        fleet.advance(1_500);
        assertFalse(fleet.endpoint("e1").executedStatements().contains("w2"));
        assertFalse(caller.lastReply().succeeded());
    }

    @Test
    void reportsAWriteAsInDoubtWhenItsReplyIsLost() {
        int vm = other(fleet.lenderIndex("e1"));
        FakeCaller warm = fleet.connectCaller(vm, TestPool.LATEST, 1);
        warm.write("w0");
        fleet.advance(100);
        FakeCaller caller = fleet.connectCaller(vm, TestPool.LATEST, 1);
        fleet.network().dropNext(LeaseReply.class);
        caller.write("w1");
        fleet.advance(1_500);
        assertTrue(List.of(ErrorCode.IN_DOUBT, ErrorCode.TIMEOUT).contains(caller.lastError()));
        assertEquals(
                1,
                fleet.endpoint("e1").executedStatements().stream()
                        .filter("w1"::equals)
                        .count());
    }

    @Test
    void asksTheNextCandidateWhenTheLenderIsUnreachable() {
        int lender = fleet.lenderIndex("e1");
        fleet.network().setPartitioned("vm-" + lender, true);
        FakeCaller caller = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        caller.write("w1");
        fleet.advance(600);
        FakeCaller later = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        later.write("w2");
        fleet.advance(100);
        assertTrue(later.lastReply().succeeded());
    }

    @Test
    void asksTheNextCandidateAtOnceWhenTheLenderStops() {
        int lender = fleet.lenderIndex("e1");
        fleet.stopLending(lender);
        FakeCaller caller = fleet.connectCaller(other(lender), TestPool.LATEST, 1);
        caller.write("w1");
        fleet.advance(100);
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void freesItsConnectionsForTheNextLenderWhenItStops() {
        for (int account = 0; account < CONNECTIONS; account++) {
            fleet.connectCaller(account, TestPool.LATEST, account).write("w" + account);
        }
        fleet.advance(400);
        int lender = fleet.lenderIndex("e1");
        fleet.stopLending(lender);
        fleet.advance(200);
        List<FakeCaller> callers = new ArrayList<>();
        for (int account = 0; account < ACCOUNTS; account++) {
            FakeCaller caller = fleet.connectCaller(other(lender), TestPool.LATEST, account);
            caller.write("x" + account);
            callers.add(caller);
        }
        fleet.advance(100);
        callers.forEach(caller -> assertTrue(caller.lastReply().succeeded()));
        assertEquals(0, fleet.endpoint("e1").rejectedConnections());
    }

    @Test
    void neverHoldsMoreConnectionsThanTheEndpointAcceptsUnderManyTransactions() {
        Random random = new Random(7);
        List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            FakeCaller caller = fleet.connectCaller(random.nextInt(VMS), TestPool.LATEST, random.nextInt(ACCOUNTS));
            caller.send("b" + i, new CallerStatement.Begin(false));
            caller.write("w" + i);
            callers.add(caller);
            fleet.advance(5);
        }
        fleet.advance(1_000);
        assertTrue(fleet.endpoint("e1").openConnections() <= CONNECTIONS);
        callers.forEach(caller -> assertTrue(caller.replies().size() >= 2, "each statement must be answered"));
        long served = callers.stream()
                .filter(caller -> caller.lastReply().succeeded())
                .count();
        assertTrue(served >= CONNECTIONS * 3 / 4, served + " served");
    }

    @Test
    void isolatesSessionValuesOfDifferentCallers() {
        int vm = other(fleet.lenderIndex("e1"));
        FakeCaller first = fleet.connectCaller(vm, TestPool.LATEST, 1);
        first.send("s", new CallerStatement.SetValue("name", "one"));
        first.prepareAndExecute("p1");
        fleet.advance(100);
        FakeCaller second = fleet.connectCaller(vm, TestPool.LATEST, 1);
        second.prepareAndExecute("p2");
        fleet.advance(100);
        assertTrue(first.lastReply().succeeded());
        assertTrue(second.lastReply().succeeded());
        assertEquals(
                Map.of(),
                fleet.endpoint("e1").sessionValues("p2"),
                "a session must not see the values of the one before it on its connection");
        assertEquals(Map.of("name", "one"), fleet.endpoint("e1").sessionValues("p1"));
    }

    /** Guards against a caller that gets the answer to the statement of a caller of another VM. */
    @Test
    void dropsARepeatedReplyToTheLeaseBeforeOnTheConnection() {
        int vm = other(fleet.lenderIndex("e1"));
        FakeCaller first = fleet.connectCaller(vm, TestPool.LATEST, 1);
        FakeCaller second = fleet.connectCaller(other(vm), TestPool.LATEST, 1);
        fleet.endpoint("e1").setWorkMillis(20);
        fleet.endpoint("e1").repeatRepliesTo(EndpointCommand.Forward.class::isInstance);
        first.write("w1");
        fleet.advance(100);
        second.write("w2");
        fleet.advance(15);
        fleet.endpoint("e1").sendRepeats();
        fleet.advance(100);
        assertTrue(signature(first).contains(".w1."), signature(first));
        assertTrue(signature(second).contains(".w2."), signature(second));
    }

    /** Guards against a write outside its transaction at the lender's endpoint that is reported as rolled back. */
    @Test
    void leavesAWriteInDoubtWhoseLeaseEndsBecauseRepliesAreOutOfStep() {
        int vm = other(fleet.lenderIndex("e1"));
        FakeCaller first = fleet.connectCaller(vm, TestPool.LATEST, 1);
        fleet.endpoint("e1").repeatRepliesTo(EndpointCommand.Begin.class::isInstance);
        first.send("b1", new CallerStatement.Begin(false));
        first.write("w1");
        first.send("c1", new CallerStatement.Commit("COMMIT"));
        fleet.advance(200);
        assertTrue(first.lastReply().succeeded());
        fleet.endpoint("e1").setRefusesTransactions(true);
        FakeCaller second = fleet.connectCaller(vm, TestPool.LATEST, 1);
        second.send("b2", new CallerStatement.Begin(false));
        second.write("w2");
        while (fleet.endpoint("e1").unansweredCommands() == 0) {
            fleet.advance(1);
        }
        fleet.endpoint("e1").sendRepeats();
        fleet.advance(500);
        assertEquals(ErrorCode.IN_DOUBT, second.lastError());
    }

    private static String signature(FakeCaller caller) {
        return caller.lastReply().outcome().toString();
    }

    private int other(int vm) {
        return (vm + 1) % VMS;
    }

    private static int connectionsOpenedBySpreadWrites(TestPoolFleet fleet) {
        for (int round = 0; round < 10; round++) {
            for (int vm = 0; vm < VMS; vm++) {
                fleet.connectCaller(vm, TestPool.LATEST, vm).write("w" + round + "-" + vm);
                fleet.advance(20);
            }
        }
        fleet.advance(300);
        return fleet.endpoint("e1").openedConnections();
    }
}
