package org.hyssopswitch.proxy.home;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.home.ControlFailure.BadReply;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** Encodes control calls as SQL and decodes the rows that they return. */
final class ControlCodec {

    private static final int MIN_COLUMNS = 9;

    private ControlCodec() {}

    static String toSql(ControlRequest request) {
        if (request instanceof ControlRequest.Fence fence) {
            return call("hyssop_fence", fence.term(), quoted(fence.coordinator()));
        }
        if (request instanceof ControlRequest.Promote promote) {
            return call("hyssop_promote", promote.term(), quoted(promote.coordinator()));
        }
        if (request instanceof ControlRequest.Follow follow) {
            return call("hyssop_follow", follow.term(), quoted(follow.primary().value()));
        }
        if (request instanceof ControlRequest.AwaitPosition await) {
            return call("hyssop_await", await.term(), await.offset());
        }
        return "SELECT * FROM hyssop_status()";
    }

    static Either<ControlFailure, ControlReply> parseReply(EndpointId endpoint, Frame row) {
        return Try.of(() -> toReply(readColumns(row)))
                .toEither()
                .mapLeft(e -> new BadReply(endpoint, e.getClass().getSimpleName()));
    }

    private static String call(String function, Object first, Object second) {
        return "SELECT * FROM " + function + "(" + first + ", " + second + ")";
    }

    private static String quoted(String text) {
        return "'" + text.replace("'", "''") + "'";
    }

    private static List<String> readColumns(Frame row) {
        BodyReader body = new BodyReader(row.body());
        int count = body.readShort();
        if (count < MIN_COLUMNS) {
            throw new IllegalArgumentException("a control row must have at least 9 columns, but has " + count);
        }
        List<String> values = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            values.add(new String(body.readBytes(body.readInt()), StandardCharsets.UTF_8));
        }
        return values;
    }

    private static ControlReply toReply(List<String> columns) {
        boolean accepted = columns.get(0).equals("t") || columns.get(0).equals("true");
        EndpointStatus status = new EndpointStatus(
                new EndpointId(columns.get(1)),
                EndpointRole.valueOf(columns.get(2).toUpperCase(Locale.ROOT)),
                Long.parseLong(columns.get(3)),
                new LogPosition(Long.parseLong(columns.get(4)), Long.parseLong(columns.get(5))),
                Long.parseLong(columns.get(6)),
                Long.parseLong(columns.get(7)),
                Long.parseLong(columns.get(8)));
        return new ControlReply(accepted, status);
    }
}
