package org.hyssopswitch.proxy.vm;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;
import javax.crypto.spec.SecretKeySpec;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.identity.KeyId;

/** Makes the stored form of keys. */
final class TestKeys {

    private static final int ITERATIONS = 4096;

    private TestKeys() {}

    static KeyVerifier verifier(String id, String key) {
        try {
            byte[] salt = id.getBytes(StandardCharsets.UTF_8);
            byte[] salted = SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                    .generateSecret(new PBEKeySpec(key.toCharArray(), salt, ITERATIONS, 256))
                    .getEncoded();
            byte[] stored = MessageDigest.getInstance("SHA-256").digest(hmac(salted, "Client Key"));
            return new KeyVerifier(
                    new KeyId(id), base64(salt), ITERATIONS, base64(stored), base64(hmac(salted, "Server Key")));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] hmac(byte[] key, String text) throws GeneralSecurityException {
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(key, "HmacSHA256"));
        return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
