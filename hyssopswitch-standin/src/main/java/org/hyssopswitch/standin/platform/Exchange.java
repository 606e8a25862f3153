package org.hyssopswitch.standin.platform;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** One call whose answer is sent later, without holding a thread. */
final class Exchange {

    private static final Logger LOG = LogManager.getLogger(Exchange.class);

    private final Request request;
    private final Response response;
    private final String client;
    private final PlatformFaults faults;
    private final ScheduledExecutorService timer;
    private final AtomicBoolean done = new AtomicBoolean();

    Exchange(Request request, Response response, String client, PlatformFaults faults, ScheduledExecutorService timer) {
        this.request = request;
        this.response = response;
        this.client = client;
        this.faults = faults;
        this.timer = timer;
        response.suspend();
    }

    /** Sends the answer after the delay in force; only the first answer of a call counts. */
    void answer(Answer answer) {
        if (!done.compareAndSet(false, true)) {
            return;
        }
        long delayMillis = faults.slowMillis();
        if (delayMillis == 0) {
            send(answer);
        } else {
            var unused = timer.schedule(() -> send(answer), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the connection without an answer. */
    void drop() {
        if (done.compareAndSet(false, true)) {
            request.getRequest().getConnection().closeSilently();
        }
    }

    /** Whether nothing that is sent now arrives. */
    boolean unreachable() {
        return faults.outage() == PlatformFaults.Outage.SILENT || faults.cutOff(client);
    }

    private void send(Answer answer) {
        if (unreachable()) {
            return;
        }
        try {
            response.setStatus(answer.status());
            response.setContentType("application/json");
            answer.headers().forEach(response::setHeader);
            response.setContentLength(answer.body().length);
            response.getOutputStream().write(answer.body());
            response.resume();
        } catch (IOException | IllegalStateException e) {
            LOG.debug("event=answer_not_sent reason=connection_closed");
        }
    }
}
