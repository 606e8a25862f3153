package org.hyssopswitch.pool.failover;

/** Is told of the orders of a promotion. */
interface PromotionListener {

    /** A listener that needs no orders. */
    PromotionListener NONE = new PromotionListener() {};

    /** The order is given now, and from now on it may be carried out. */
    default void orderSent() {}

    /**
     * The order was answered, or is not awaited any more.
     *
     * @param answer the answer; an unknown one says that the order may be carried out later
     */
    default void orderAnswered(PromotionAuthority.Answer answer) {}
}
