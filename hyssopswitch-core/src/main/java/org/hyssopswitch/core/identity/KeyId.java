package org.hyssopswitch.core.identity;

/**
 * Identifier of a key of a client account. The identifier is not secret.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record KeyId(String value) implements Comparable<KeyId> {

    /** Validates the format of the identifier. */
    public KeyId {
        IdentifierUtils.requireIdentifier("key", value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
