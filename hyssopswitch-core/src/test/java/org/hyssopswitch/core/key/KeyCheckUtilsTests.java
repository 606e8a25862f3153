package org.hyssopswitch.core.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
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

class KeyCheckUtilsTests {

    private static final KeyVerifier OLD = verifier("old", "old secret");
    private static final KeyVerifier NEW = verifier("new", "new secret");

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
    void acceptsOnlyKeysOfTheAccount(String user, String key, String expectedKey) {
        assertEquals(
                Option.of(expectedKey),
                authenticate(user, key, configuration(1, OLD, NEW))
                        .map(k -> k.verifier().id().value()));
    }

    @Test
    void refusesNextRequestOfOpenSessionAfterKeyIsWithdrawn() {
        SessionKey session =
                authenticate("clerks", "old secret", configuration(1, OLD, NEW)).get();
        assertTrue(KeyCheckUtils.check(session, configuration(2, OLD)).isEmpty());
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                KeyCheckUtils.check(session, configuration(3, NEW)).get());
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                KeyCheckUtils.check(session, Configuration.EMPTY).get());
    }

    @Test
    void treatsRecreatedKeyOfSameNameAsDifferentKey() {
        SessionKey session =
                authenticate("clerks", "old secret", configuration(1, OLD)).get();
        assertInstanceOf(
                Refusal.KeyWithdrawn.class,
                KeyCheckUtils.check(session, configuration(2, verifier("old", "another secret")))
                        .get());
    }

    @Test
    void refusesOnlyConfigurationsBeyondMaximumAge() {
        StalenessPolicy policy = StalenessPolicy.refuseBeyond(5_000);
        assertTrue(policy.check(5_000).isEmpty());
        assertEquals(new Refusal.ConfigurationStale(5_001), policy.check(5_001).get());
        assertTrue(StalenessPolicy.serveLastKnown().check(86_400_000).isEmpty());
    }

    /** Uses the example exchange of RFC 7677. */
    @Test
    void scramMatchesExampleOfRfc7677() {
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

    private static Option<SessionKey> authenticate(String user, String key, Configuration configuration) {
        return KeyCheckUtils.match(key, KeyCheckUtils.candidates(user, configuration));
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
