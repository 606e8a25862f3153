package org.hyssopswitch.proxy.home;

/**
 * A user and password with which the proxy logs in to endpoints.
 *
 * @param name the user
 * @param password its password
 */
public record EndpointUser(String name, String password) {

    /** Returns the name only, so that log lines do not contain the password. */
    @Override
    public String toString() {
        return name;
    }
}
