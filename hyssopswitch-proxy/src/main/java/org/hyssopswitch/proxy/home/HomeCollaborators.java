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
 * The components of the VM on which its homes depend.
 *
 * @param resolver finds the homes of endpoints
 * @param queues creates statement queues
 * @param confirmer confirms commits
 * @param actions executes the actions that the confirmer returns
 * @param sender sends messages to entry VMs
 * @param positions receives the log positions that endpoints report with answers
 * @param replaced whether an endpoint is a former primary that another endpoint has replaced
 */
public record HomeCollaborators(
        HomeResolver resolver,
        QueueFactory queues,
        CommitConfirmer confirmer,
        Outbox actions,
        BiConsumer<VmAddress, PeerMessage> sender,
        BiConsumer<EndpointId, LogPosition> positions,
        Predicate<EndpointId> replaced) {}
