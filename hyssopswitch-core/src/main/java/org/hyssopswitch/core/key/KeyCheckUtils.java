package org.hyssopswitch.core.key;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.failure.Refusal;

/** Decides whether a caller's key is in force: when it connects, and again for every request. */
public final class KeyCheckUtils {

    /** Keys of one account that a key without a name is tried against. */
    private static final int MAX_CANDIDATE_KEYS = 4;

    private KeyCheckUtils() {}

    /**
     * Finds the keys that a caller may mean.
     *
     * @param user the user name of the caller, {@code <account>} or {@code <account>/<key>}
     * @param configuration the configuration in force
     * @return the keys; empty when the name, the account or the key is not known, which callers must not be told
     */
    public static List<SessionKey> candidates(String user, Configuration configuration) {
        return CallerName.parse(user).map(name -> keysOf(name, configuration)).getOrElse(List.of());
    }

    /**
     * Finds the key that a caller gave in the clear. Takes milliseconds for each candidate by design.
     *
     * @param key the key
     * @param candidates the keys that the caller may mean
     */
    public static Option<SessionKey> match(String key, List<SessionKey> candidates) {
        return Option.ofOptional(candidates.stream()
                .filter(c -> ScramUtils.verify(key, c.verifier()))
                .findFirst());
    }

    /**
     * Checks that the key of a session is still in force. A key that was created again under the same name is another
     * key.
     *
     * @param sessionKey the key of the session
     * @param configuration the configuration in force
     * @return the refusal, or nothing when the request may run
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
