package org.hyssopswitch.pool.failover;

import java.util.function.Consumer;

/** The platform's call that promotes an endpoint to the primary of its group. */
@FunctionalInterface
public interface PromotionAuthority {

    /**
     * Orders a promotion.
     *
     * @param order the promotion to order
     * @param done receives the answer once, on the decision thread
     */
    void promote(Order order, Consumer<Answer> done);

    /**
     * An order to promote an endpoint.
     *
     * @param group group of the endpoint
     * @param endpoint the endpoint to promote
     * @param holder the promotion leader that gives the order
     * @param token fencing token of the leader
     */
    record Order(String group, String endpoint, String holder, long token) {}

    /** Answer of the platform to an order. */
    enum Answer {
        /** The endpoint becomes the primary shortly. */
        ACCEPTED,
        /** The token is too low, or the endpoint is not running. */
        REJECTED,
        /** No answer arrived, or the platform has no capacity; the order may still be carried out. */
        UNKNOWN
    }
}
