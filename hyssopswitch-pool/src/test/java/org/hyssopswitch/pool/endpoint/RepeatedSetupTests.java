package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against a repeated answer to a session value that stands for the answer to a later one. */
class RepeatedSetupTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    /** Guards against a write that is repeated because the refusal of a value is taken for the refusal of the write. */
    @Tag("known-red")
    @Test
    void runsAWriteOnceWhoseValueWasRefusedAfterARepeatedReply() {
        FakeCaller first = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        first.send("v1", new CallerStatement.SetValue("name", "a"));
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.SetValue.class::isInstance);
        first.write("w1");
        pool.advance(100);
        pool.endpoint("e1").refuseNextValue();
        pool.endpoint("e1").runAfterClose();
        FakeCaller second = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        second.send("v2", new CallerStatement.SetValue("name", "b"));
        second.write("w2");
        pool.endpoint("e1").sendRepeats();
        pool.advance(300);
        assertEquals(List.of("w1", "w2"), pool.endpoint("e1").executedStatements());
    }
}
