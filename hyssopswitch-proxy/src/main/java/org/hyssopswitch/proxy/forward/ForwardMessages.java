package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.peer.MessageRegistry;

/** The numbers of the forwarding messages. */
public final class ForwardMessages {

    private ForwardMessages() {}

    /**
     * Adds the messages to a registry.
     *
     * @param builder collects messages
     */
    public static void register(MessageRegistry.Builder builder) {
        builder.register(100, ExecuteCycle.class)
                .register(101, ContinueCycle.class)
                .register(102, AnswerData.class)
                .register(103, AnswerEnd.class)
                .register(104, GrantCredit.class)
                .register(105, CancelCycle.class)
                .register(106, CloseStream.class);
    }
}
