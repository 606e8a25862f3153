package org.hyssopswitch.standin.control;

/** One operation of a control listener. */
@FunctionalInterface
interface ControlOperation {

    /**
     * Runs the operation.
     *
     * @param parameters parameters of the query string
     * @return what to answer, written as JSON
     */
    Object run(ControlParameters parameters);
}
