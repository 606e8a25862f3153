package org.hyssopswitch.proxy.net;

import io.vavr.control.Option;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Hands what arrives on a connection to its channel. */
final class ChannelFilter extends BaseFilter {

    private final Attribute<GrizzlyChannel> channels =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(ChannelFilter.class.getName());

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Option<GrizzlyChannel> channel = channel(context.getConnection());
        if (channel.isEmpty()) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        context.suspend();
        channel.get().received(context.getMessage(), context);
        return context.getSuspendAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        channel(context.getConnection()).forEach(GrizzlyChannel::disconnected);
        return context.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }

    void bind(Connection<?> connection, GrizzlyChannel channel) {
        channels.set(connection, channel);
    }

    private Option<GrizzlyChannel> channel(Connection<?> connection) {
        return Option.of(channels.get(connection));
    }
}
