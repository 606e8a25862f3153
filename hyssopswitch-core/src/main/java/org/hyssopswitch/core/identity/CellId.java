package org.hyssopswitch.core.identity;

/**
 * Identifier of a cell: a bounded set of VMs of one data centre that keep track of each other's membership.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record CellId(String value) implements Comparable<CellId> {

    /** Validates the format of the identifier. */
    public CellId {
        IdentifierUtils.requireIdentifier("cell", value);
    }

    @Override
    public int compareTo(CellId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
