package org.hyssopswitch.settings.key;

import java.security.SecureRandom;
import java.util.Base64;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.key.ScramUtils;

/** Creates random keys; only the verifier is stored. */
public final class KeyCreator {

    private static final int KEY_BYTES = 24;
    private static final int SALT_BYTES = 16;
    private static final int ITERATIONS = 4_096;

    private final SecureRandom random;

    /**
     * Creates a creator.
     *
     * @param random source of keys and salts
     */
    public KeyCreator(SecureRandom random) {
        this.random = random;
    }

    /**
     * Creates a key.
     *
     * @param id the name of the key
     */
    public CreatedKey create(KeyId id) {
        String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(KEY_BYTES));
        return new CreatedKey(key, ScramUtils.derive(id, key, bytes(SALT_BYTES), ITERATIONS));
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    /**
     * A new key.
     *
     * @param key the key in the clear, to be handed to the client account once
     * @param verifier the form in which it is stored
     */
    public record CreatedKey(String key, KeyVerifier verifier) {

        @Override
        public String toString() {
            return "CreatedKey[" + verifier.id() + "]";
        }
    }
}
