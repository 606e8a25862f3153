package org.hyssopswitch.standin.platform;

/** Kinds of calls, for counting. */
public enum CallKind {
    /** A read of one object. */
    READ,
    /** A watch of one object, counted once however long it waits. */
    WATCH,
    /** A read or watch of a prefix. */
    PREFIX,
    /** An update. */
    UPDATE,
    /** A read of the list of VMs. */
    LIST,
    /** A registration of a VM. */
    REGISTER,
    /** Anything else. */
    OTHER
}
