package org.hyssopswitch.bench.configuration;

/** A way to bring a VM from an older state of the configuration to a newer one. */
interface ExchangeMethod {

    /** Name in the table. */
    String label();

    /** Messages one after the other from the request to the last answer, in pairs. */
    int rounds();

    /**
     * Bytes of all messages, without frames.
     *
     * @param sample the states and the subtree that changed
     */
    long bytes(ExchangeSample sample);
}
