package org.hyssopswitch.core.identity;

/**
 * Identifier of a client account.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Validates the format of the identifier. */
    public ClientAccountId {
        IdentifierUtils.requireIdentifier("client account", value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
