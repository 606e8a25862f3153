package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.security.SecureRandom;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.settings.key.KeyCreator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Creates and withdraws keys of client accounts. */
@Command(
        name = "key",
        description = "Creates and withdraws keys.",
        subcommands = {KeyCommand.Create.class, KeyCommand.Withdraw.class})
final class KeyCommand {

    private KeyCommand() {}

    /** Names a key of an account. */
    record KeyName(ClientAccountId account, KeyId key) {

        static Either<CtlFailure, KeyName> of(String account, String key) {
            try {
                return Either.right(new KeyName(new ClientAccountId(account), new KeyId(key)));
            } catch (IllegalArgumentException e) {
                return Either.left(new CtlFailure.WrongArgument("ACCOUNT KEY", account + " " + key, e.getMessage()));
            }
        }
    }

    /** Creates a key. */
    @Command(name = "create", description = "Creates a key and prints it once on standard output.")
    static final class Create extends AbstractCommand {

        @Mixin
        private EditMixin edit;

        @Parameters(index = "0", paramLabel = "ACCOUNT", description = "The client account.")
        private String account;

        @Parameters(index = "1", paramLabel = "KEY", description = "Name of the new key.")
        private String key;

        @Override
        Either<CtlFailure, ?> run() {
            return TeamRepository.teamOf("ACCOUNT", account)
                    .flatMap(team -> KeyName.of(account, key).flatMap(name -> {
                        KeyCreator.CreatedKey created = new KeyCreator(new SecureRandom()).create(name.key());
                        return edit.edit(
                                team,
                                t -> TeamEdits.addKey(t, name.account(), created.verifier()),
                                err(),
                                () -> out().println(created.key()));
                    }));
        }
    }

    /** Withdraws a key. */
    @Command(name = "withdraw", description = "Withdraws a key, also from callers that are connected.")
    static final class Withdraw extends AbstractCommand {

        @Mixin
        private EditMixin edit;

        @Parameters(index = "0", paramLabel = "ACCOUNT", description = "The client account.")
        private String account;

        @Parameters(index = "1", paramLabel = "KEY", description = "Name of the key.")
        private String key;

        @Override
        Either<CtlFailure, ?> run() {
            return TeamRepository.teamOf("ACCOUNT", account).flatMap(team -> KeyName.of(account, key)
                    .flatMap(name ->
                            edit.edit(team, t -> TeamEdits.removeKey(t, name.account(), name.key()), err(), () -> {})));
        }
    }
}
