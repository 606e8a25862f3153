package org.hyssopswitch.proxy.operations;

import java.util.Map;

/** What the operations listener reports; called on its threads. */
public interface OperationsSource {

    /** Tells whether the decision thread still works. */
    boolean live();

    /** Tells whether the VM takes new callers. */
    boolean ready();

    /** The status of the VM; values are strings, numbers, booleans, lists and maps. */
    Map<String, Object> status();
}
