package org.hyssopswitch.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Proves possession of the fleet secret by HMAC-SHA-256 over a transcript: role, protocol version, both VMs with their
 * incarnations, and the nonces of both sides. The secret itself never travels, a proof of one side is no proof of the
 * other, and a recorded proof is void under a new nonce.
 */
final class LinkAuthenticator {

    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    LinkAuthenticator(byte[] fleetSecret) {
        this.key = new SecretKeySpec(fleetSecret, ALGORITHM);
    }

    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    byte[] proof(Role role, LinkMessages.Hello hello, byte[] acceptorNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(new byte[] {role.code, (byte) MessageCodec.VERSION});
            update(mac, hello.from());
            update(mac, hello.to());
            update(mac, hello.nonce());
            update(mac, acceptorNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new PeerException("HMAC-SHA-256 is not available", e);
        }
    }

    boolean verify(Role role, LinkMessages.Hello hello, byte[] acceptorNonce, byte[] proof) {
        return MessageDigest.isEqual(proof(role, hello, acceptorNonce), proof);
    }

    private static void update(Mac mac, VmAddress address) {
        update(mac, address.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void update(Mac mac, byte[] bytes) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }

    /** The side of a link that gives a proof. */
    enum Role {
        DIALLER((byte) 1),
        ACCEPTOR((byte) 2);

        private final byte code;

        Role(byte code) {
            this.code = code;
        }
    }
}
