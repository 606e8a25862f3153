package org.hyssopswitch.core.identity;

/**
 * Names a VM of the system; a restarted VM may keep its name and is told apart by its incarnation.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record VmId(String value) implements Comparable<VmId> {

    /** Checks the form of the identifier. */
    public VmId {
        IdentifierUtils.requireIdentifier("VM", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
