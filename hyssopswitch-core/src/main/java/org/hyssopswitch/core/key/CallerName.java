package org.hyssopswitch.core.key;

import io.vavr.control.Option;
import java.util.Optional;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.KeyId;

/**
 * The user name that a caller gives: {@code <account>} or {@code <account>/<key>}.
 *
 * @param account the client account
 * @param key the name of the key; empty if any key of the account may match
 */
public record CallerName(ClientAccountId account, Optional<KeyId> key) {

    /**
     * Parses a user name.
     *
     * @param user the user name that the caller sent
     * @return the parsed name; none if it does not have this form
     */
    public static Option<CallerName> parse(String user) {
        int slash = user.indexOf('/');
        try {
            return Option.of(
                    slash < 0
                            ? new CallerName(new ClientAccountId(user), Optional.empty())
                            : new CallerName(
                                    new ClientAccountId(user.substring(0, slash)),
                                    Optional.of(new KeyId(user.substring(slash + 1)))));
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }
}
