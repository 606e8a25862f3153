package org.hyssopswitch.core.key;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.failure.Refusal;

/** Checks whether the key of a caller is in force: when the caller connects, and again on every request. */
public final class KeyCheckUtils {

    /** Maximum number of verifiers that are tried when the caller does not name its key. */
    private static final int MAX_CANDIDATE_KEYS = 4;

    private KeyCheckUtils() {}

    /**
     * Finds the keys that may authenticate a caller.
     *
     * @param user the user name of the caller, {@code <account>} or {@code <account>/<key>}
     * @param configuration the configuration in force
     * @return the keys; empty if the name, the account or the key is unknown, which must not be disclosed to the caller
     */
    public static List<SessionKey> candidates(String user, Configuration configuration) {
        return CallerName.parse(user).map(name -> keysOf(name, configuration)).getOrElse(List.of());
    }

    /**
     * Finds the candidate that a clear-text key matches. Takes milliseconds per candidate: the key derivation is
     * deliberately slow.
     *
     * @param key the key in clear text
     * @param candidates the keys to try
     * @return the matching key, or none
     */
    public static Option<SessionKey> match(String key, List<SessionKey> candidates) {
        return Option.ofOptional(candidates.stream()
                .filter(c -> ScramUtils.verify(key, c.verifier()))
                .findFirst());
    }

    /**
     * Checks that the key of a session is still in force. A key that was recreated under the same name is a different
     * key.
     *
     * @param sessionKey the key of the session
     * @param configuration the configuration in force
     * @return the refusal; none if the request may run
     */
    public static Option<Refusal> check(SessionKey sessionKey, Configuration configuration) {
        boolean inForce = configuration
                .account(sessionKey.account())
                .map(a -> a.keys().contains(sessionKey.verifier()))
                .orElse(false);
        return inForce ? Option.none() : Option.of(new Refusal.KeyWithdrawn(sessionKey.account()));
    }

    private static List<SessionKey> keysOf(CallerName name, Configuration configuration) {
        return configuration.account(name.account()).map(AccountDeclaration::keys).orElse(List.of()).stream()
                .filter(k -> name.key().map(k.id()::equals).orElse(true))
                .limit(MAX_CANDIDATE_KEYS)
                .map(k -> new SessionKey(name.account(), k))
                .toList();
    }
}
