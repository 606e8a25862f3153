package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.key.ScramUtils;

/**
 * The server's side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677), without channel binding.
 *
 * <p>The caller's key never arrives here: only a proof that the caller has it.
 */
final class ScramExchange {

    private final KeyVerifier verifier;
    private final String serverNonce;
    private String clientFirstBare = "";
    private String gs2Header = "";
    private String serverFirst = "";
    private String nonce = "";

    /**
     * Starts an exchange.
     *
     * @param verifier the stored form of the key
     * @param serverNonce random printable characters without commas
     */
    ScramExchange(KeyVerifier verifier, String serverNonce) {
        this.verifier = verifier;
        this.serverNonce = serverNonce;
    }

    /**
     * Takes the client's first message.
     *
     * @param message the message
     * @return the server's first message, or nothing when the message is not acceptable
     */
    Option<String> first(String message) {
        String[] parts = message.split(",", 3);
        // Flag "p" demands channel binding, which is not offered.
        if (parts.length < 3 || !(parts[0].equals("n") || parts[0].equals("y"))) {
            return Option.none();
        }
        gs2Header = parts[0] + "," + parts[1] + ",";
        clientFirstBare = parts[2];
        Option<String> clientNonce = attribute(clientFirstBare, 'r').filter(n -> !n.isEmpty());
        return clientNonce.map(n -> {
            nonce = n + serverNonce;
            serverFirst = "r=" + nonce + ",s=" + verifier.salt() + ",i=" + verifier.iterations();
            return serverFirst;
        });
    }

    /**
     * Takes the client's final message.
     *
     * @param message the message
     * @return the server's final message, or nothing when the client does not have the key
     */
    Option<String> last(String message) {
        int proofAt = message.lastIndexOf(",p=");
        if (proofAt < 0 || serverFirst.isEmpty()) {
            return Option.none();
        }
        String withoutProof = message.substring(0, proofAt);
        String binding = Base64.getEncoder().encodeToString(gs2Header.getBytes(StandardCharsets.UTF_8));
        if (!attribute(withoutProof, 'c').contains(binding)
                || !attribute(withoutProof, 'r').contains(nonce)) {
            return Option.none();
        }
        String authMessage = clientFirstBare + "," + serverFirst + "," + withoutProof;
        return decode(message.substring(proofAt + 3))
                .filter(proof -> ScramUtils.verifyProof(authMessage, proof, verifier))
                .map(proof ->
                        "v=" + Base64.getEncoder().encodeToString(ScramUtils.serverSignature(authMessage, verifier)));
    }

    private static Option<byte[]> decode(String base64) {
        try {
            return Option.some(Base64.getDecoder().decode(base64));
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }

    private static Option<String> attribute(String message, char name) {
        for (String part : message.split(",")) {
            if (part.startsWith(name + "=")) {
                return Option.some(part.substring(2));
            }
        }
        return Option.none();
    }
}
