package org.hyssopswitch.proxy.home;

import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failover.CommitConfirmer;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.position.LogPosition;

/**
 * What a home needs of the rest of its VM.
 *
 * @param resolver finds the homes of endpoints
 * @param queues creates statement queues
 * @param confirmer confirms commits
 * @param actions performs the confirmer's actions
 * @param sender sends messages to entry VMs
 * @param positions takes positions that endpoints report with answers
 * @param replaced tells whether an endpoint is a primary that another one has replaced
 */
public record HomeCollaborators(
        HomeResolver resolver,
        QueueFactory queues,
        CommitConfirmer confirmer,
        Outbox actions,
        BiConsumer<VmAddress, PeerMessage> sender,
        BiConsumer<EndpointId, LogPosition> positions,
        Predicate<EndpointId> replaced) {}
