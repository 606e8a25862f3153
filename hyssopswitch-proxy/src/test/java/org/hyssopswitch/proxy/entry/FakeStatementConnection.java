package org.hyssopswitch.proxy.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;

/**
 * An endpoint connection that prepares, runs and closes statements as PostgreSQL does: a named statement is prepared
 * once, and after an error the rest of the cycle is skipped.
 */
final class FakeStatementConnection {

    /** Text that cannot be prepared. */
    static final String INVALID = "invalid";

    private static final Frame ERROR = BackendFrames.errorResponse("ERROR", "42000", "refused", "", "");

    private final Map<String, String> texts = new HashMap<>();
    private final Set<String> prepared = new HashSet<>();
    private final List<String> executed = new ArrayList<>();

    /** Returns the VM's record of what is prepared on the connection. */
    Set<String> prepared() {
        return prepared;
    }

    /** Returns the texts that ran, in order. */
    List<String> executed() {
        return List.copyOf(executed);
    }

    /** Runs a cycle and returns the answer, encoded. */
    byte[] run(byte[] cycle) {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        boolean failed = false;
        for (Frame frame : new FrameDecoder(false, FrameNetwork.MAX_FRAME_BYTES)
                .feed(ByteBuffer.wrap(cycle))
                .get()) {
            if (!failed) {
                Frame reply = reply(frame);
                failed = reply.is('E');
                answer.writeBytes(reply.encode());
            }
        }
        return answer.toByteArray();
    }

    private Frame reply(Frame frame) {
        if (frame.is('P')) {
            return parse(PreparedStatements.nameOf(frame), PreparedStatements.sqlOf(frame));
        }
        if (frame.is('C')) {
            CycleRewriter.statementOf(frame).forEach(texts::remove);
            return BackendFrames.empty('3');
        }
        String text = texts.get(CycleRewriter.statementOf(frame).get());
        if (text == null) {
            return ERROR;
        }
        executed.add(text);
        return BackendFrames.empty('2');
    }

    private Frame parse(String name, String sql) {
        boolean named = !name.isEmpty();
        if ((named && texts.containsKey(name)) || sql.equals(INVALID)) {
            return ERROR;
        }
        texts.put(name, sql);
        return BackendFrames.empty('1');
    }
}
