package org.hyssopswitch.core.identity;

/**
 * Identifier of an endpoint: one database server.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Validates the format of the identifier. */
    public EndpointId {
        IdentifierUtils.requireIdentifier("endpoint", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
