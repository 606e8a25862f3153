package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.KeyId;

/**
 * The stored form of a key: a SCRAM-SHA-256 verifier, from which the key cannot be derived.
 *
 * @param id the name of the key
 * @param salt salt in Base64
 * @param iterations PBKDF2 iterations, 4096 or more
 * @param storedKey SHA-256 of the client key, in Base64
 * @param serverKey HMAC of the salted key for the server's proof, in Base64
 */
public record KeyVerifier(KeyId id, String salt, int iterations, String storedKey, String serverKey) {

    /** Validates the iteration count. */
    public KeyVerifier {
        if (iterations < 4096) {
            throw new IllegalArgumentException("a key needs at least 4096 iterations, but has " + iterations);
        }
    }
}
