package org.hyssopswitch.load;

import java.util.List;
import java.util.Map;
import org.hyssopswitch.load.profile.LoadProfile;

/**
 * What to run against which VMs.
 *
 * @param profile the profile
 * @param vms addresses of the VMs, host and port
 * @param logins user and password by client account; an account that is missing uses its name and its default key
 * @param seed seed of arrivals, operations and moves
 * @param durationMillis milliseconds for which operations arrive
 * @param answerTimeoutMillis milliseconds after which an operation without an answer counts as unknown
 */
public record LoadOptions(
        LoadProfile profile,
        List<VmTarget> vms,
        Map<String, Login> logins,
        long seed,
        long durationMillis,
        long answerTimeoutMillis) {

    /** Milliseconds to wait for an answer unless set otherwise. */
    public static final long DEFAULT_ANSWER_TIMEOUT_MILLIS = 15_000;

    /** Checks the ranges and copies the collections. */
    public LoadOptions {
        vms = List.copyOf(vms);
        logins = Map.copyOf(logins);
        if (vms.isEmpty()) {
            throw new IllegalArgumentException("at least one VM address must be given");
        }
        if (durationMillis < 1 || answerTimeoutMillis < 1) {
            throw new IllegalArgumentException("duration and answer timeout must be positive, but are " + durationMillis
                    + " and " + answerTimeoutMillis);
        }
    }

    /**
     * The address of a VM.
     *
     * @param host IP address
     * @param port TCP port for callers, 1 to 65535
     */
    public record VmTarget(String host, int port) {

        /** Checks the port. */
        public VmTarget {
            if (port < 1 || port > 65_535) {
                throw new IllegalArgumentException("the port of a VM must be between 1 and 65535, but is " + port);
            }
        }
    }

    /**
     * User and password.
     *
     * @param user the user
     * @param password the password or key
     */
    public record Login(String user, String password) {
        @Override
        public String toString() {
            return user;
        }
    }
}
