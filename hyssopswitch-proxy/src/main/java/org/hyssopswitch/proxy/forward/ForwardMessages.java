package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.peer.MessageRegistry;

/** Registers the messages between entry VMs and homes under their numbers. */
public final class ForwardMessages {

    private ForwardMessages() {}

    /**
     * Adds the messages to a registry.
     *
     * @param builder registry under construction
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
