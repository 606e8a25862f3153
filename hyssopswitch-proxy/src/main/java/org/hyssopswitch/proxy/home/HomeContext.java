package org.hyssopswitch.proxy.home;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failover.CommitConfirmer;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.FrameNetwork;

/**
 * What all homes of a VM share.
 *
 * @param loop the decision thread
 * @param network opens connections
 * @param random source of jitter
 * @param users the proxy's credentials
 * @param application name of this VM and its incarnation, reported to endpoints
 * @param queues creates the queue of an endpoint
 * @param confirmer confirms commits
 * @param actions performs the actions of the confirmer
 * @param replySender sends messages to entry VMs
 */
record HomeContext(
        DecisionLoop loop,
        FrameNetwork network,
        RandomGenerator random,
        EndpointUsers users,
        String application,
        Supplier<StatementQueue<HomeStream>> queues,
        CommitConfirmer confirmer,
        Outbox actions,
        ReplySender replySender) {}
