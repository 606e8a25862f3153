package org.hyssopswitch.proxy.home;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failover.CommitConfirmer;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.FrameNetwork;

/**
 * Components and settings that all homes of a VM share.
 *
 * @param loop the decision thread
 * @param network opens connections
 * @param random source of jitter
 * @param users users with which to log in to endpoints
 * @param application this VM's name and incarnation, sent as application_name
 * @param queues creates an endpoint's statement queue
 * @param confirmer confirms commits
 * @param actions executes the actions that the confirmer returns
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
