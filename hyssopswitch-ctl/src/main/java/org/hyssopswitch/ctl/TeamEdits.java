package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;

/** Changes to a team's configuration as pure functions. */
final class TeamEdits {

    private TeamEdits() {}

    /** Adds a key; adding the same verifier again changes nothing. */
    static Either<CtlFailure, TeamConfiguration> addKey(
            TeamConfiguration team, ClientAccountId account, KeyVerifier key) {
        return editAccount(team, account, a -> {
            if (a.keys().contains(key)) {
                return Either.right(a);
            }
            if (a.keys().stream().anyMatch(k -> k.id().equals(key.id()))) {
                return Either.left(new CtlFailure.WrongArgument("KEY", key.id().value(), "exists already"));
            }
            List<KeyVerifier> keys = new ArrayList<>(a.keys());
            keys.add(key);
            return Either.right(new AccountDeclaration(a.id(), a.rate(), a.databases(), keys));
        });
    }

    /** Removes a key. */
    static Either<CtlFailure, TeamConfiguration> removeKey(TeamConfiguration team, ClientAccountId account, KeyId key) {
        return editAccount(team, account, a -> {
            List<KeyVerifier> keys =
                    a.keys().stream().filter(k -> !k.id().equals(key)).toList();
            return keys.size() == a.keys().size()
                    ? Either.left(new CtlFailure.WrongArgument("KEY", key.value(), "does not exist"))
                    : Either.right(new AccountDeclaration(a.id(), a.rate(), a.databases(), keys));
        });
    }

    /** Changes an account that exists. */
    static Either<CtlFailure, TeamConfiguration> editAccount(
            TeamConfiguration team,
            ClientAccountId account,
            Function<AccountDeclaration, Either<CtlFailure, AccountDeclaration>> change) {
        Optional<AccountDeclaration> current = find(team.accounts(), a -> a.id().equals(account));
        if (current.isEmpty()) {
            return Either.left(new CtlFailure.WrongArgument("ACCOUNT", account.value(), "does not exist"));
        }
        return change.apply(current.get())
                .map(next -> new TeamConfiguration(
                        team.team(),
                        team.version(),
                        team.databases(),
                        replace(team.accounts(), a -> a.id().equals(account), next),
                        team.routes()));
    }

    /** Marks an endpoint as leaving or staying. */
    static Either<CtlFailure, TeamConfiguration> setLeaving(
            TeamConfiguration team, EndpointId endpoint, boolean leaving) {
        Optional<DatabaseDeclaration> database =
                find(team.databases(), d -> d.endpoints().stream().anyMatch(e -> e.id().equals(endpoint)));
        if (database.isEmpty()) {
            return Either.left(new CtlFailure.WrongArgument("ENDPOINT", endpoint.value(), "does not exist"));
        }
        DatabaseDeclaration current = database.get();
        EndpointDeclaration old =
                find(current.endpoints(), e -> e.id().equals(endpoint)).orElseThrow();
        EndpointDeclaration changed =
                new EndpointDeclaration(old.id(), old.dataCentre(), old.cell(), old.host(), old.port(), leaving);
        DatabaseDeclaration next = new DatabaseDeclaration(
                current.id(),
                replace(current.endpoints(), e -> e.id().equals(endpoint), changed),
                current.slots(),
                current.connections());
        return Either.right(new TeamConfiguration(
                team.team(),
                team.version(),
                replace(team.databases(), d -> d.id().equals(current.id()), next),
                team.accounts(),
                team.routes()));
    }

    private static <T> Optional<T> find(List<T> list, Predicate<T> test) {
        return list.stream().filter(test).findFirst();
    }

    private static <T> List<T> replace(List<T> list, Predicate<T> test, T next) {
        return list.stream().map(e -> test.test(e) ? next : e).toList();
    }
}
