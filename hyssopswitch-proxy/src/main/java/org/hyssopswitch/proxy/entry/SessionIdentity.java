package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.key.KeyCheckUtils;
import org.hyssopswitch.core.key.SessionKey;

/**
 * Who a session belongs to.
 *
 * @param account the client account
 * @param key the key that the caller proved to have; nothing for callers of open routes
 */
record SessionIdentity(ClientAccountId account, Option<KeyVerifier> key) {

    /** The user of callers without a key. */
    static final ClientAccountId OPEN = new ClientAccountId("open");

    /** Stands for callers that have not logged in, in metrics. */
    static final ClientAccountId NOBODY = new ClientAccountId("nobody");

    /**
     * The identity of a caller without a key: the client account {@code <team>.open} of the team that owns the
     * database, whose rate all such callers share.
     *
     * @param configuration the configuration in force
     * @param database the database of the session
     */
    static SessionIdentity open(Configuration configuration, DatabaseId database) {
        Option<ClientAccountId> account = Option.ofOptional(configuration.teams().values().stream()
                        .filter(t -> t.databases().stream().anyMatch(d -> d.id().equals(database)))
                        .findFirst())
                .flatMap(t ->
                        Try.of(() -> new ClientAccountId(t.team() + "." + OPEN)).toOption())
                .filter(a -> configuration.account(a).isPresent());
        return new SessionIdentity(account.getOrElse(OPEN), Option.none());
    }

    static SessionIdentity of(SessionKey key) {
        return new SessionIdentity(key.account(), Option.some(key.verifier()));
    }

    boolean keyed() {
        return key.isDefined();
    }

    /**
     * Checks the identity against the configuration in force.
     *
     * @param configuration the configuration in force
     * @param database the database of the session
     * @return the refusal, or nothing when the session may go on
     */
    Option<Refusal> check(Configuration configuration, DatabaseId database) {
        if (configuration.database(database).isEmpty()) {
            return Option.some(new Refusal.DatabaseUnknown(database.value()));
        }
        if (!keyed()) {
            return Option.none();
        }
        Option<Refusal> withdrawn = KeyCheckUtils.check(new SessionKey(account, key.get()), configuration);
        if (withdrawn.isDefined()) {
            return withdrawn;
        }
        boolean permitted = configuration
                .account(account)
                .map(a -> a.databases().contains(database))
                .orElse(false);
        return permitted ? Option.none() : Option.some(new Refusal.DatabaseUnknown(database.value()));
    }
}
