package org.hyssopswitch.core.identity;

/**
 * Identifier of a team, which owns one subtree of the configuration.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record TeamId(String value) implements Comparable<TeamId> {

    /** Validates the format of the identifier. */
    public TeamId {
        IdentifierUtils.requireIdentifier("team", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
