package org.hyssopswitch.standin.platform;

import java.util.Optional;

/**
 * A bearer credential and what it may do. Every credential may read.
 *
 * @param name names the client in faults and counters
 * @param token the bearer token
 * @param kind what it may write
 * @param team the team of a team credential
 */
public record PlatformCredential(String name, String token, Kind kind, Optional<String> team) {

    private static final String CONFIG = "config/";

    /** Checks that the token is given and that only a team credential names a team. */
    public PlatformCredential {
        if (token.isEmpty()) {
            throw new IllegalArgumentException("credential " + name + " must have a token");
        }
        if (team.isPresent() != (kind == Kind.TEAM)) {
            throw new IllegalArgumentException(
                    "credential " + name + " must name a team if and only if its kind is TEAM, but is " + kind);
        }
    }

    /** What a credential may write. */
    public enum Kind {
        /** All objects and the list of VMs. */
        ADMIN,
        /** All objects outside the configuration, and the list of VMs. */
        VM,
        /** The configuration object of its team. */
        TEAM
    }

    /**
     * Creates a credential that is not of a team.
     *
     * @param name names the client
     * @param token the bearer token
     * @param kind what it may write
     */
    public static PlatformCredential of(String name, String token, Kind kind) {
        return new PlatformCredential(name, token, kind, Optional.empty());
    }

    /**
     * Creates the credential of a team.
     *
     * @param team the team, which also names the client
     * @param token the bearer token
     */
    public static PlatformCredential ofTeam(String team, String token) {
        return new PlatformCredential(team, token, Kind.TEAM, Optional.of(team));
    }

    /**
     * Tells whether it may write an object.
     *
     * @param path path of the object
     */
    public boolean mayWrite(String path) {
        return switch (kind) {
            case ADMIN -> true;
            case VM -> !path.startsWith(CONFIG);
            case TEAM -> path.equals(CONFIG + "teams/" + team.orElseThrow());
        };
    }

    /** Whether it may register VMs. */
    public boolean mayRegister() {
        return kind != Kind.TEAM;
    }

    @Override
    public String toString() {
        return name;
    }
}
