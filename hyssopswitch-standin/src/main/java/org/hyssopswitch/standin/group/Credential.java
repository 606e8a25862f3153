package org.hyssopswitch.standin.group;

/**
 * A user and its password.
 *
 * @param user the user
 * @param password the password
 */
public record Credential(String user, String password) {

    /** Checks that the user is named. */
    public Credential {
        if (user.isEmpty()) {
            throw new IllegalArgumentException("the user must not be empty");
        }
    }

    @Override
    public String toString() {
        return user;
    }
}
