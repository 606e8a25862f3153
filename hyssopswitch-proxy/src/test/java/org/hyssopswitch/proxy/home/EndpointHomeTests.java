package org.hyssopswitch.proxy.home;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hyssopswitch.core.fairness.DeficitRoundRobinQueue;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.FrontendFrames;
import org.junit.jupiter.api.Test;

/** What a home reports about cycles at an endpoint whose replies cross. */
class EndpointHomeTests {

    private static final VmAddress ENTRY =
            new VmAddress(new VmId("vm-1"), 1, new DataCentreId("recife"), new CellId("recife-1"), "127.0.0.1", 1);

    private final FakeEndpoint endpoint = new FakeEndpoint();
    private final List<AnswerState> ends = new ArrayList<>();
    private final EndpointHome home = home();

    /** Guards against refusing writes for a floor that the primary reached, until its next status reply. */
    @Test
    void sendsAWriteWhoseFloorWasReportedBeforeAnOlderStatusArrived() {
        home.updateStatus(status(10), home.positionReports());
        long reports = home.positionReports();
        execute(1, LogPosition.ZERO);
        endpoint.login();
        endpoint.deliver(endpoint.answer(
                BackendFrames.commandComplete("SELECT 1"),
                BackendFrames.parameterStatus("hyssop.applied", "1/11"),
                BackendFrames.readyForQuery('I')));
        home.updateStatus(status(10), reports);
        execute(2, new LogPosition(1, 11));
        assertEquals(List.of(AnswerState.COMPLETE), ends);
        assertEquals(2, endpoint.sentCount(), "the first cycle and the second one");
    }

    /** Guards against a position that the endpoint has lost being kept against a reply that is newer. */
    @Test
    void takesALowerPositionFromAReplyToALaterCall() {
        home.updateStatus(status(11), home.positionReports());
        home.updateStatus(status(10), home.positionReports());
        execute(1, new LogPosition(1, 11));
        assertEquals(List.of(AnswerState.NOT_COVERED), ends);
    }

    /** Guards against "not run" for a write that was sent and never answered. */
    @Test
    void saysUnknownForAWriteThatWasSentWhenItsConnectionBreaks() {
        execute(1, LogPosition.ZERO);
        endpoint.login();
        endpoint.breakConnection();
        assertEquals(List.of(AnswerState.UNKNOWN), ends);
    }

    private void execute(long stream, LogPosition floor) {
        CycleRouting routing = new CycleRouting(
                new ClientAccountId("school"),
                FakeEndpoint.SPEC.database(),
                FakeEndpoint.SPEC.endpoint().id(),
                false,
                false,
                floor,
                1_000);
        byte[] frames = FrontendFrames.query("INSERT INTO kv (key, value) VALUES ('k', 'v')")
                .encode();
        home.execute(new StreamKey(ENTRY, stream), new ExecuteCycle(stream, 1, 1, routing, false, frames));
    }

    private static EndpointStatus status(long offset) {
        return new EndpointStatus(
                FakeEndpoint.SPEC.endpoint().id(), EndpointRole.PRIMARY, 1, new LogPosition(1, offset), 0, 0, 0);
    }

    private EndpointHome home() {
        HomeContext context = new HomeContext(
                new StoppedLoop(),
                endpoint,
                new SplittableRandom(7),
                new EndpointUsers(new EndpointUser("writer", "secret"), new EndpointUser("reader", "secret")),
                "vm-0/1",
                () -> new DeficitRoundRobinQueue<>(a -> 1, QueueLimits.DEFAULT),
                (ticket, primary, position, deadline, now, out) -> {},
                action -> {},
                (to, message) -> {
                    if (message instanceof AnswerEnd end) {
                        ends.add(end.state());
                    }
                });
        EndpointHome created = new EndpointHome(
                context,
                FakeEndpoint.SPEC.database(),
                FakeEndpoint.SPEC.endpoint(),
                new ConfirmationCallbacks(),
                (id, position) -> {});
        created.resize(3, 3);
        return created;
    }
}
