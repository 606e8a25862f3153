package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.function.Consumer;
import org.hyssopswitch.pool.catalog.Endpoint;

/** Selects the endpoint of a group that is to become the primary. */
interface PromotionTargetSelector {

    /**
     * Starts the selection.
     *
     * @param oldPrimary the primary to replace, if there is one
     * @param done receives the target once, or nothing if none can be promoted now
     */
    void select(Option<Endpoint> oldPrimary, Consumer<Option<PromotionTarget>> done);
}
