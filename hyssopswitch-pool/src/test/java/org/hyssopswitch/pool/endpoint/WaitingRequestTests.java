package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that wait in two queues or twice in one, and against a request whose refusal fails: either ended
 * the tick of all groups, and requests that had already left a queue were never answered.
 */
class WaitingRequestTests {

    private static final long NOW_MILLIS = 1_000;
    private static final long LATER_MILLIS = 1_500;

    private final WaitingPlaces places = new WaitingPlaces();
    private final ConnectionRequestQueue queue = new ConnectionRequestQueue(places);

    @Test
    void answersReadsThatWereHedgedAndThenLostTheirFirstConnection() {
        TestPool pool = new TestPool(16, 6);
        FakeCaller warm = pool.connectCaller(TestPool.BOUNDED);
        warm.read("warm");
        pool.advance(1_000);
        pool.endpoint("e1").setConnectionsExhausted(true);
        pool.endpoint("e3").setConnectionsExhausted(true);
        List.of("e1", "e2", "e3").forEach(id -> pool.endpoint(id).setWorkMillis(500));
        List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            callers.add(pool.connectCaller(TestPool.BOUNDED));
            callers.get(i).read("r" + i);
        }
        pool.advance(150);
        pool.endpoint("e2").crash();
        pool.advance(1_200);
        callers.forEach(caller -> assertEquals(1, caller.replies().size()));
    }

    @Test
    void movesARequestToTheQueueItIsAddedToLast() {
        ConnectionRequestQueue other = new ConnectionRequestQueue(places);
        RecordingRequest request = new RecordingRequest(1);
        queue.add(request, LATER_MILLIS, NOW_MILLIS);
        other.add(request, LATER_MILLIS, NOW_MILLIS);
        assertEquals(List.of(), queue.all());
        assertEquals(List.of(request), other.all());
        assertEquals(Option.none(), queue.remove(request, NOW_MILLIS));
    }

    @Test
    void keepsThePositionOfARequestThatIsAddedAgain() {
        RecordingRequest first = new RecordingRequest(1);
        RecordingRequest second = new RecordingRequest(1);
        RecordingRequest urgent = new RecordingRequest(0);
        List.of(first, second, urgent, first).forEach(request -> queue.add(request, LATER_MILLIS, NOW_MILLIS));
        assertEquals(List.of(urgent, first, second), queue.all());
        assertEquals(List.of(urgent, first, second), queue.removeExpired(LATER_MILLIS));
        assertEquals(0, queue.size());
    }

    @Test
    void refusesAllExpiredRequestsAlthoughOneRefusalFails() {
        TestPool pool = new TestPool(16, 6);
        pool.endpoint("e1").setConnectionsExhausted(true);
        List<RecordingRequest> requests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            requests.add(new RecordingRequest(1));
            requests.get(i).deadlineMillis = pool.loop().nowMillis() + 100;
            requests.get(i).failing = i == 1;
            pool.group().submit(requests.get(i));
        }
        pool.advance(200);
        requests.forEach(request -> assertTrue(request.refused));
    }

    @Test
    void refusesAllRequestsThatLeaveALostEndpointAlthoughOneRefusalFails() {
        TestPool pool = new TestPool(16, 6);
        pool.endpoint("e1").setConnectionsExhausted(true);
        List<RecordingRequest> requests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            requests.add(new RecordingRequest(1));
            requests.get(i).deadlineMillis = pool.loop().nowMillis() + 60_000;
            requests.get(i).failing = i == 1;
            pool.group().submit(requests.get(i));
        }
        pool.advance(100);
        pool.endpoint("e1").crash();
        pool.advance(1_000);
        requests.forEach(request -> assertTrue(request.refused));
    }

    /** A request that records its refusal, and may then fail. */
    private static final class RecordingRequest implements ConnectionRequest {

        private final int priority;
        private long deadlineMillis;
        private boolean failing;
        private boolean refused;

        RecordingRequest(int priority) {
            this.priority = priority;
        }

        @Override
        public Account account() {
            return Account.ANONYMOUS;
        }

        @Override
        public int priority() {
            return priority;
        }

        @Override
        public boolean primaryOnly() {
            return true;
        }

        @Override
        public long stalenessMillis() {
            return 0;
        }

        @Override
        public LogPosition sessionFloor() {
            return LogPosition.ZERO;
        }

        @Override
        public long assignmentDeadlineMillis() {
            return deadlineMillis;
        }

        @Override
        public long unavailableWaitMillis() {
            return 0;
        }

        @Override
        public boolean excludes(String endpointId) {
            return false;
        }

        @Override
        public void assigned(PooledConnection connection, Option<LogPosition> floor) {
            connection.release();
        }

        @Override
        public void refused(ErrorCode code, String reason) {
            refused = true;
            if (failing) {
                throw new IllegalStateException("the refusal must not end the tick");
            }
        }
    }
}
