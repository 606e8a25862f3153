package org.hyssopswitch.core.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeyCheckerTests {

    private static final KeyVerifier OLD = verifier("old", "old secret");
    private static final KeyVerifier NEW = verifier("new", "new secret");

    private final KeyChecker checker = new KeyChecker(StalenessPolicy.serveLastKnown());

    @ParameterizedTest
    @CsvSource({
        "clerks, old secret, old",
        "clerks, new secret, new",
        "clerks/old, old secret, old",
        "clerks/old, new secret, ",
        "clerks/absent, old secret, ",
        "clerks, wrong, ",
        "clerks, '', ",
        "absent, old secret, ",
        "unknown, unknown, ",
        "absent, unknown, ",
        "'', old secret, ",
        "clerks/, old secret, ",
        "CLERKS, old secret, ",
        "clerks/old/x, old secret, "
    })
    void acceptsExactlyTheKeysOfTheAccount(String user, String key, String accepted) {
        var result = checker.authenticate(user, key, configuration(1, OLD, NEW), 0);
        if (accepted == null) {
            assertInstanceOf(Refusal.AuthenticationFailed.class, result.getLeft());
        } else {
            assertEquals(accepted, result.get().verifier().id().value());
        }
    }

    @Test
    void aWithdrawnKeyRefusesTheNextRequestOfAnOpenSession() {
        SessionKey session = checker.authenticate("clerks", "old secret", configuration(1, OLD, NEW), 0)
                .get();
        assertTrue(checker.check(session, configuration(2, OLD), 0).isEmpty());
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                checker.check(session, configuration(3, NEW), 0).get());
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                checker.check(session, Configuration.EMPTY, 0).get());
    }

    @Test
    void aKeyThatIsCreatedAgainUnderTheSameNameIsAnotherKey() {
        SessionKey session = checker.authenticate("clerks", "old secret", configuration(1, OLD), 0)
                .get();
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                checker.check(session, configuration(2, verifier("old", "another secret")), 0)
                        .get());
    }

    @Test
    void anOldConfigurationIsRefusedOnlyBeyondTheDeclaredAge() {
        KeyChecker strict = new KeyChecker(StalenessPolicy.refuseBeyond(5_000));
        Configuration configuration = configuration(1, OLD);
        SessionKey session = strict.authenticate("clerks", "old secret", configuration, 5_000)
                .get();
        assertTrue(strict.check(session, configuration, 5_000).isEmpty());
        assertEquals(
                new Refusal.ConfigurationStale(5_001),
                strict.check(session, configuration, 5_001).get());
        assertEquals(
                new Refusal.ConfigurationStale(5_001),
                strict.authenticate("clerks", "old secret", configuration, 5_001)
                        .getLeft());
        assertTrue(checker.check(session, configuration, 86_400_000).isEmpty());
    }

    /** The exchange that RFC 7677 gives as an example. */
    @Test
    void scramAgreesWithThePublishedExample() {
        byte[] salt = Base64.getDecoder().decode("W22ZaJ0SNY7soEsUEjb6gQ==");
        KeyVerifier verifier = ScramUtils.derive(new KeyId("k"), "pencil", salt, 4_096);
        String authMessage = "n=user,r=rOprNGfwEbeRWgbNEkqO,"
                + "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096,"
                + "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
        byte[] proof = Base64.getDecoder().decode("dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=");
        assertTrue(ScramUtils.verifyProof(authMessage, proof, verifier));
        assertEquals(
                "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=",
                Base64.getEncoder().encodeToString(ScramUtils.serverSignature(authMessage, verifier)));
        proof[3] ^= 1;
        assertFalse(ScramUtils.verifyProof(authMessage, proof, verifier));
        assertFalse(ScramUtils.verifyProof(authMessage, new byte[0], verifier));
    }

    private static KeyVerifier verifier(String id, String key) {
        return ScramUtils.derive(new KeyId(id), key, ("salt of " + id).getBytes(StandardCharsets.UTF_8), 4_096);
    }

    private static Configuration configuration(long version, KeyVerifier... keys) {
        AccountDeclaration account =
                new AccountDeclaration(new ClientAccountId("clerks"), new Rate(1, 1), List.of(), List.of(keys));
        TeamId team = new TeamId("school");
        return new Configuration(
                version, Map.of(team, new TeamConfiguration(team, version, List.of(), List.of(account), List.of())));
    }
}
