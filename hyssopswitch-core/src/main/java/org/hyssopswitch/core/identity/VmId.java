package org.hyssopswitch.core.identity;

/**
 * Identifier of a VM. A restarted VM may keep its identifier; the incarnation distinguishes the two.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record VmId(String value) implements Comparable<VmId> {

    /** Validates the format of the identifier. */
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
