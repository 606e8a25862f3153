package org.hyssopswitch.core.identity;

/**
 * Names a data centre.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Checks the form of the identifier. */
    public DataCentreId {
        IdentifierUtils.requireIdentifier("data centre", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
