package org.hyssopswitch.pool.failover;

import java.util.function.Consumer;

/** The platform's call that makes an endpoint the primary of its group. */
@FunctionalInterface
public interface PromotionAuthority {

    /**
     * Orders a promotion.
     *
     * @param order what is ordered
     * @param done told the answer, on the decision thread, once
     */
    void promote(Order order, Consumer<Answer> done);

    /**
     * An order.
     *
     * @param group the group
     * @param endpoint the endpoint to promote
     * @param holder the VM that holds the duty
     * @param token its fencing token
     */
    record Order(String group, String endpoint, String holder, long token) {}

    /** How the platform answered. */
    enum Answer {
        /** The endpoint leads shortly. */
        ACCEPTED,
        /** The token is too low or the endpoint is not running. */
        REJECTED,
        /** No answer or no capacity; the order may still be carried out. */
        UNKNOWN
    }
}
