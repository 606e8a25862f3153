package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** The statements that a session has prepared, kept so that they can be prepared on any endpoint connection. */
final class PreparedStatements {

    private static final int MAX_STATEMENTS = 1_024;
    private static final int MAX_BYTES = 1024 * 1024;

    private final Map<String, Frame> parses = new LinkedHashMap<>();
    private final Map<String, Integer> reservedBytes = new HashMap<>();
    private int bytes;

    /**
     * Reserves room for the statements that a cycle prepares. They are remembered once the endpoint has prepared them.
     *
     * @param frames frames of the cycle
     * @return whether there was room for them
     */
    boolean reserve(List<Frame> frames) {
        frames.stream().filter(f -> f.is('P')).forEach(f -> reservedBytes.put(nameOf(f), f.encodedLength()));
        int count = parses.size();
        long total = bytes;
        for (Map.Entry<String, Integer> reserved : reservedBytes.entrySet()) {
            Option<Frame> replaced = find(reserved.getKey());
            count += replaced.isEmpty() ? 1 : 0;
            total += reserved.getValue() - replaced.map(Frame::encodedLength).getOrElse(0);
        }
        return count <= MAX_STATEMENTS && total <= MAX_BYTES;
    }

    /** Gives back the room that the ended cycle did not use. */
    void releaseReservations() {
        reservedBytes.clear();
    }

    /**
     * Remembers a statement that the endpoint has prepared.
     *
     * @param parse the Parse frame
     */
    void remember(Frame parse) {
        String name = nameOf(parse);
        forget(name);
        parses.put(name, parse);
        bytes += parse.encodedLength();
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

    static String nameOf(Frame parse) {
        return new BodyReader(parse.body()).readString();
    }

    static String sqlOf(Frame parse) {
        BodyReader body = new BodyReader(parse.body());
        body.readString();
        return body.readString();
    }
}
