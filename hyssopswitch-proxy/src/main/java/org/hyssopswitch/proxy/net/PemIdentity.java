package org.hyssopswitch.proxy.net;

import io.vavr.control.Try;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.hyssopswitch.core.failure.HyssopException;

/** Reads the identity of a TLS server from PEM files. */
public final class PemIdentity {

    private static final List<String> KEY_ALGORITHMS = List.of("EC", "RSA", "Ed25519");

    private PemIdentity() {}

    /**
     * Reads an identity.
     *
     * @param certificates file with the certificate chain
     * @param key file with the private key in PKCS #8
     * @return a context that presents the identity
     * @throws HyssopException if a file cannot be read or does not hold what it should
     */
    public static SSLContext read(Path certificates, Path key) {
        try {
            KeyStore store = KeyStore.getInstance("PKCS12");
            store.load(null, new char[0]);
            store.setKeyEntry("server", privateKey(key), new char[0], chain(certificates));
            KeyManagerFactory managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            managers.init(store, new char[0]);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(managers.getKeyManagers(), null, null);
            return context;
        } catch (GeneralSecurityException | IOException e) {
            throw new HyssopException("cannot read the TLS identity from " + certificates + " and " + key, e);
        }
    }

    private static Certificate[] chain(Path file) throws GeneralSecurityException, IOException {
        try (var in = Files.newInputStream(file)) {
            Collection<? extends Certificate> chain =
                    CertificateFactory.getInstance("X.509").generateCertificates(in);
            return chain.toArray(Certificate[]::new);
        }
    }

    private static PrivateKey privateKey(Path file) throws IOException {
        String text = Files.readString(file, StandardCharsets.US_ASCII);
        String base64 = text.replaceAll("-----[^-]*-----", "").replaceAll("\\s", "");
        PKCS8EncodedKeySpec spec;
        try {
            spec = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64));
        } catch (IllegalArgumentException e) {
            throw new HyssopException("the private key in " + file + " is not PEM", e);
        }
        return KEY_ALGORITHMS.stream()
                .flatMap(a -> Try.of(() -> KeyFactory.getInstance(a).generatePrivate(spec))
                        .toJavaStream())
                .findFirst()
                .orElseThrow(() ->
                        new HyssopException("the private key in " + file + " must be EC, RSA or Ed25519 in PKCS #8"));
    }
}
