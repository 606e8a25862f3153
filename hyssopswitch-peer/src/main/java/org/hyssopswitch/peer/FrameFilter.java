package org.hyssopswitch.peer;

import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Splits the byte stream of a connection into frames for its {@link LinkEnd}. */
final class FrameFilter extends BaseFilter {

    private static final Attribute<LinkEnd> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(FrameFilter.class.getName());

    private final Function<Connection<?>, LinkEnd> acceptor;

    FrameFilter(Function<Connection<?>, LinkEnd> acceptor) {
        this.acceptor = acceptor;
    }

    static void attach(Connection<?> connection, LinkEnd link) {
        LINK.set(connection, link);
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        attach(ctx.getConnection(), acceptor.apply(ctx.getConnection()));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Buffer in = ctx.getMessage();
        LinkEnd link = LINK.get(ctx.getConnection());
        boolean open = link != null;
        while (open && holdsFrame(in, link)) {
            open = link.frameReceived(takeFrame(in));
        }
        if (open && in.hasRemaining()) {
            in.shrink();
            return ctx.getStopAction(in);
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        LinkEnd link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.fail(new PeerFailure.LinkClosed("the other side closed it"));
        }
        return ctx.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        LinkEnd link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.fail(new PeerFailure.LinkClosed(String.valueOf(error)));
        }
    }

    /** Tells whether a whole frame is buffered; a length out of range ends the link. */
    private static boolean holdsFrame(Buffer in, LinkEnd link) {
        if (in.remaining() < MessageCodec.LENGTH_BYTES) {
            return false;
        }
        int length = in.getInt(in.position());
        if (length < 1 || length > link.maxFrameBytes()) {
            link.fail(new PeerFailure.FrameTooLarge(Integer.toUnsignedLong(length), link.maxFrameBytes()));
            in.position(in.limit());
            return false;
        }
        return in.remaining() >= MessageCodec.LENGTH_BYTES + length;
    }

    private static byte[] takeFrame(Buffer in) {
        byte[] frame = new byte[in.getInt()];
        in.get(frame);
        return frame;
    }
}
