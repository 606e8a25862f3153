package org.hyssopswitch.core.key;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.KeyId;

/**
 * Decides whether a caller's key is in force: when it connects, and again for every request.
 *
 * <p>An unknown account, an unknown key and a wrong key get the same refusal after the same work.
 */
public final class KeyChecker {

    /** Keys of one account that a key without a name is tried against. */
    private static final int MAX_CANDIDATES = 4;

    /** A verifier of the right form whose stored key is no hash that anyone knows a key for. */
    private static final KeyVerifier UNKNOWN = new KeyVerifier(
            new KeyId("unknown"), "aHlzc29wc3dpdGNoLXNhbA==", 4_096, "A".repeat(43) + "=", "A".repeat(43) + "=");

    private final StalenessPolicy policy;

    /**
     * Creates a checker.
     *
     * @param policy whether keys are trusted under an old configuration
     */
    public KeyChecker(StalenessPolicy policy) {
        this.policy = policy;
    }

    /**
     * Finds the keys that a caller may mean, for a check of the key in the clear or for a SCRAM exchange.
     *
     * @param user the user name of the caller
     * @param configuration the configuration in force
     * @param ageMillis milliseconds since the configuration was confirmed
     * @return the keys, at least one; a key that matches nothing when there is none
     */
    public Either<Refusal, List<SessionKey>> candidates(String user, Configuration configuration, long ageMillis) {
        Option<Refusal> stale = policy.check(ageMillis);
        if (stale.isDefined()) {
            return Either.left(stale.get());
        }
        List<SessionKey> keys =
                CallerName.parse(user).map(name -> keysOf(name, configuration)).getOrElse(List.of());
        return Either.right(keys.isEmpty() ? List.of(new SessionKey(new ClientAccountId("unknown"), UNKNOWN)) : keys);
    }

    /**
     * Authenticates a caller by a key in the clear.
     *
     * @param user the user name of the caller
     * @param key the key
     * @param configuration the configuration in force
     * @param ageMillis milliseconds since the configuration was confirmed
     * @return the key of the session, or the refusal
     */
    public Either<Refusal, SessionKey> authenticate(
            String user, String key, Configuration configuration, long ageMillis) {
        return candidates(user, configuration, ageMillis).flatMap(keys -> match(key, keys));
    }

    /**
     * Checks that the key of a session is still in force.
     *
     * @param session the key of the session
     * @param configuration the configuration in force
     * @param ageMillis milliseconds since the configuration was confirmed
     * @return the refusal, or nothing when the request may run
     */
    public Option<Refusal> check(SessionKey session, Configuration configuration, long ageMillis) {
        boolean inForce = configuration
                .account(session.account())
                .map(a -> a.keys().contains(session.verifier()))
                .orElse(false);
        return inForce ? policy.check(ageMillis) : Option.of(new Refusal.KeyWithdrawn(session.account()));
    }

    private static Either<Refusal, SessionKey> match(String key, List<SessionKey> keys) {
        for (SessionKey candidate : keys) {
            if (ScramUtils.verify(key, candidate.verifier())) {
                return Either.right(candidate);
            }
        }
        return Either.left(new Refusal.AuthenticationFailed());
    }

    private static List<SessionKey> keysOf(CallerName name, Configuration configuration) {
        return configuration.account(name.account()).map(AccountDeclaration::keys).orElse(List.of()).stream()
                .filter(k -> name.key().isEmpty() || name.key().get().equals(k.id()))
                .limit(MAX_CANDIDATES)
                .map(k -> new SessionKey(name.account(), k))
                .toList();
    }
}
