package org.hyssopswitch.core.key;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.spec.KeySpec;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;
import javax.crypto.spec.SecretKeySpec;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.KeyId;

/** SCRAM-SHA-256 verifiers (RFC 5802 and RFC 7677) as pure functions. */
public final class ScramUtils {

    private static final String HMAC = "HmacSHA256";
    private static final int HASH_BITS = 256;

    private ScramUtils() {}

    /**
     * Derives the verifier of a key.
     *
     * @param id the name of the key
     * @param key the key; not empty
     * @param salt random bytes
     * @param iterations PBKDF2 iterations
     */
    public static KeyVerifier derive(KeyId id, String key, byte[] salt, int iterations) {
        byte[] saltedPassword = saltPassword(key, salt, iterations);
        byte[] storedKey = hash(hmac(saltedPassword, "Client Key"));
        byte[] serverKey = hmac(saltedPassword, "Server Key");
        return new KeyVerifier(id, encode(salt), iterations, encode(storedKey), encode(serverKey));
    }

    /**
     * Checks a key that was received in clear text. The comparison takes constant time.
     *
     * @param key the key
     * @param verifier the verifier
     */
    public static boolean verify(String key, KeyVerifier verifier) {
        if (key.isEmpty()) {
            return false;
        }
        byte[] saltedPassword = saltPassword(key, Base64.getDecoder().decode(verifier.salt()), verifier.iterations());
        byte[] expected = Base64.getDecoder().decode(verifier.storedKey());
        return MessageDigest.isEqual(expected, hash(hmac(saltedPassword, "Client Key")));
    }

    /**
     * Checks the client proof of a SCRAM exchange. The comparison takes constant time.
     *
     * @param authMessage the {@code AuthMessage} of the exchange, as defined by RFC 5802
     * @param proof the {@code ClientProof}
     * @param verifier the verifier
     */
    public static boolean verifyProof(String authMessage, byte[] proof, KeyVerifier verifier) {
        byte[] storedKey = Base64.getDecoder().decode(verifier.storedKey());
        byte[] signature = hmac(storedKey, authMessage);
        if (proof.length != signature.length) {
            return false;
        }
        byte[] clientKey = new byte[proof.length];
        for (int i = 0; i < proof.length; i++) {
            clientKey[i] = (byte) (proof[i] ^ signature[i]);
        }
        return MessageDigest.isEqual(storedKey, hash(clientKey));
    }

    /**
     * Computes the {@code ServerSignature}, which proves to the client that the server has the verifier.
     *
     * @param authMessage the {@code AuthMessage} of the exchange, as defined by RFC 5802
     * @param verifier the verifier
     */
    public static byte[] serverSignature(String authMessage, KeyVerifier verifier) {
        return hmac(Base64.getDecoder().decode(verifier.serverKey()), authMessage);
    }

    private static byte[] saltPassword(String key, byte[] salt, int iterations) {
        try {
            KeySpec spec = new PBEKeySpec(key.toCharArray(), salt, iterations, HASH_BITS);
            return SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                    .generateSecret(spec)
                    .getEncoded();
        } catch (GeneralSecurityException e) {
            throw new HyssopException("PBKDF2 is not available", e);
        }
    }

    private static byte[] hmac(byte[] key, String text) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(new SecretKeySpec(key, HMAC));
            return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new HyssopException("HMAC-SHA-256 is not available", e);
        }
    }

    private static byte[] hash(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (GeneralSecurityException e) {
            throw new HyssopException("SHA-256 is not available", e);
        }
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
