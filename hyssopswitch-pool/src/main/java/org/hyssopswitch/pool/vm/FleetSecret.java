package org.hyssopswitch.pool.vm;

/**
 * The secret by which the VMs of a fleet authenticate each other.
 *
 * @param secret random text, 16 characters or more
 */
public record FleetSecret(String secret) {

    /** Validates the length. */
    public FleetSecret {
        if (secret.length() < 16) {
            throw new IllegalArgumentException("the fleet secret must have 16 characters or more");
        }
    }

    @Override
    public String toString() {
        return "FleetSecret[...]";
    }
}
