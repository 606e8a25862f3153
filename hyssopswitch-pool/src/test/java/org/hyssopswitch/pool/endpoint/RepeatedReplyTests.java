package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against replies that an endpoint gives twice and that reach a command they do not answer. */
class RepeatedReplyTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    /** Guards against repeated replies that leave no trace, so that a foreign answer has no visible cause. */
    @Test
    void countsARepeatedReply() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Forward.class::isInstance);
        caller.write("w1");
        pool.advance(100);
        assertEquals(0, pool.counter("endpoint_replies.repeated"));
        pool.endpoint("e1").sendRepeats();
        pool.advance(10);
        assertEquals(1, pool.counter("endpoint_replies.repeated"));
    }
}
