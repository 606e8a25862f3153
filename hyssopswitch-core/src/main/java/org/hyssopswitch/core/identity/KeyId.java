package org.hyssopswitch.core.identity;

/**
 * Names a key of a client account; it is not secret.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record KeyId(String value) implements Comparable<KeyId> {

    /** Checks the form of the identifier. */
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
