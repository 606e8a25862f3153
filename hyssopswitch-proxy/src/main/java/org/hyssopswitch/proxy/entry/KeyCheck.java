package org.hyssopswitch.proxy.entry;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;
import javax.crypto.spec.SecretKeySpec;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.failure.HyssopException;

/** Checks a key that arrived in the clear against its stored form. */
final class KeyCheck {

    private static final int KEY_BITS = 256;
    private static final String CLIENT_KEY = "Client Key";

    private KeyCheck() {}

    /**
     * Tells whether a key belongs to a stored form. Takes milliseconds by design: it must not run on the decision
     * thread.
     *
     * @param verifier the stored form
     * @param key the key
     */
    static boolean matches(KeyVerifier verifier, String key) {
        try {
            byte[] salt = Base64.getDecoder().decode(verifier.salt());
            PBEKeySpec spec = new PBEKeySpec(key.toCharArray(), salt, verifier.iterations(), KEY_BITS);
            byte[] salted = SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                    .generateSecret(spec)
                    .getEncoded();
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(salted, "HmacSHA256"));
            byte[] clientKey = mac.doFinal(CLIENT_KEY.getBytes(StandardCharsets.UTF_8));
            byte[] stored = MessageDigest.getInstance("SHA-256").digest(clientKey);
            return MessageDigest.isEqual(stored, Base64.getDecoder().decode(verifier.storedKey()));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new HyssopException("key " + verifier.id() + " cannot be checked", e);
        }
    }
}
