package org.hyssopswitch.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** Keeps what arrives. */
final class RecordingListener implements PeerListener {

    private static final long WAIT_SECONDS = 20;

    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<VmAddress> failures = new LinkedBlockingQueue<>();

    @Override
    public void messageReceived(VmAddress from, PeerMessage message) {
        received.add(new Received(from, message));
    }

    @Override
    public void linkFailed(VmAddress to) {
        failures.add(to);
    }

    Received next() throws InterruptedException {
        return orFail(received.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no message arrived");
    }

    VmAddress nextFailure() throws InterruptedException {
        return orFail(failures.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no link failed");
    }

    boolean receivedNothing() {
        return received.isEmpty();
    }

    private static <T> T orFail(T value, String message) {
        if (value == null) {
            throw new AssertionError(message);
        }
        return value;
    }

    record Received(VmAddress from, PeerMessage message) {}
}
