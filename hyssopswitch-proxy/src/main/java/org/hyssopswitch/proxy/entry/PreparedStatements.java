package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** The statements that a session has prepared, kept so that they can be prepared on any endpoint connection. */
final class PreparedStatements {

    private static final int MAX_STATEMENTS = 1_024;
    private static final int MAX_BYTES = 1024 * 1024;

    private final Map<String, Frame> parses = new LinkedHashMap<>();
    private int bytes;

    /**
     * Remembers a Parse frame.
     *
     * @param parse the frame
     * @return whether there was room for it
     */
    boolean remember(Frame parse) {
        String name = new BodyReader(parse.body()).readString();
        forget(name);
        if (parses.size() >= MAX_STATEMENTS || bytes + parse.encodedLength() > MAX_BYTES) {
            return false;
        }
        parses.put(name, parse);
        bytes += parse.encodedLength();
        return true;
    }

    void forget(String name) {
        Frame old = parses.remove(name);
        if (old != null) {
            bytes -= old.encodedLength();
        }
    }

    Option<Frame> find(String name) {
        return Option.of(parses.get(name));
    }

    Option<String> sql(String name) {
        return find(name).map(PreparedStatements::sqlOf);
    }

    static String sqlOf(Frame parse) {
        BodyReader body = new BodyReader(parse.body());
        body.readString();
        return body.readString();
    }
}
