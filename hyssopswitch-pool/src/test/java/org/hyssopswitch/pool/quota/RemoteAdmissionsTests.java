package org.hyssopswitch.pool.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.peer.AdmissionReply;
import org.hyssopswitch.pool.peer.AdmissionRequest;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.TokenTransfer;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

/**
 * Guards against token holders that count as unresponsive in a fleet that starts, before a link to them is open, and against
 * tokens that a holder has taken and that no operation uses.
 */
class RemoteAdmissionsTests {

    private final ManualLoop loop = new ManualLoop();
    private final List<String> asked = new ArrayList<>();
    private PeerMessage lastMessage;
    private final RemoteAdmissions admissions = new RemoteAdmissions(new RecordingLinks(), loop::nowMillis);

    @Test
    void countsTheTimeToAnswerFromTheOpeningOfTheLink() {
        admissions.admit("account", List.of("vm-1", "vm-2"), 500, new PendingListener());
        loop.advance(60);
        admissions.linkOpened("vm-1");
        loop.advance(60);
        admissions.tick();
        assertEquals(List.of("vm-1"), asked);
        loop.advance(30);
        admissions.tick();
        assertEquals(List.of("vm-1", "vm-2"), asked);
    }

    @Test
    void givesBackTheTokenOfAHolderThatAdmitsAfterAnotherOne() {
        admissions.admit("account", List.of("vm-1", "vm-2"), 500, new PendingListener());
        loop.advance(80);
        admissions.tick();
        long id = ((AdmissionRequest) lastMessage).requestId();
        admissions.replyReceived("vm-2", new AdmissionReply(id, AdmissionReply.Outcome.ADMITTED, 0));
        admissions.replyReceived("vm-1", new AdmissionReply(id, AdmissionReply.Outcome.ADMITTED, 0));
        admissions.tick();
        assertEquals(List.of("vm-1", "vm-2", "vm-1"), asked);
        assertEquals(new TokenTransfer(Map.of("account", 1.0), Map.of()), lastMessage);
    }

    @Test
    void ignoresAnAnswerToAnEarlierProcess() {
        admissions.admit("account", List.of("vm-1", "vm-2"), 500, new PendingListener());
        long earlierId = ((AdmissionRequest) lastMessage).requestId();
        RemoteAdmissions restarted = new RemoteAdmissions(new RecordingLinks(), loop::nowMillis);
        restarted.admit("other", List.of("vm-1", "vm-2"), 500, new PendingListener());
        restarted.replyReceived("vm-1", new AdmissionReply(earlierId, AdmissionReply.Outcome.ADMITTED, 0));
        restarted.tick();
        assertEquals(List.of("vm-1", "vm-1"), asked, "no token may be given back to another account");
    }

    private final class RecordingLinks implements PeerLinks {

        @Override
        public void send(String vm, PeerMessage message) {
            asked.add(vm);
            lastMessage = message;
        }

        @Override
        public void sendToSubset(PeerMessage message) {}

        @Override
        public Collection<String> names() {
            return List.of();
        }
    }

    private static final class PendingListener implements AdmissionListener {

        @Override
        public void admitted(AdmissionPermit permit) {}

        @Override
        public void refused(long retryAfterMillis) {}

        @Override
        public boolean isPending() {
            return true;
        }
    }
}
