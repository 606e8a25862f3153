package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.ClientAccountId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Changes client accounts. */
@Command(name = "account", description = "Changes client accounts.", subcommands = AccountCommand.SetRate.class)
final class AccountCommand {

    private AccountCommand() {}

    /** Sets the rate and the burst of an account. */
    @Command(name = "set", description = "Sets the rate and the burst of a client account.")
    static final class SetRate extends AbstractCommand {

        @Mixin
        private EditMixin edit;

        @Parameters(paramLabel = "ACCOUNT", description = "The client account.")
        private String account;

        @Option(names = "--rate", paramLabel = "N", description = "Statements per second over all VMs.")
        private Double rate;

        @Option(names = "--burst", paramLabel = "N", description = "Statements that may be admitted at once.")
        private Double burst;

        @Override
        Either<CtlFailure, ?> run() {
            if (rate == null && burst == null) {
                return Either.left(new CtlFailure.WrongArgument("--rate, --burst", "", "one of them must be given"));
            }
            return TeamRepository.teamOf("ACCOUNT", account)
                    .flatMap(team -> edit.edit(team, this::change, err(), () -> {}));
        }

        private Either<CtlFailure, TeamConfiguration> change(TeamConfiguration team) {
            try {
                return TeamEdits.editAccount(team, new ClientAccountId(account), a -> Either.right(withRate(a)));
            } catch (IllegalArgumentException e) {
                return Either.left(new CtlFailure.WrongArgument(
                        "--rate, --burst", rate + ", " + burst, "are refused: " + e.getMessage()));
            }
        }

        private AccountDeclaration withRate(AccountDeclaration current) {
            double perSecond = rate != null ? rate : current.rate().perSecond();
            double atOnce = burst != null ? burst : current.rate().burst();
            return new AccountDeclaration(
                    current.id(), new Rate(perSecond, atOnce), current.databases(), current.keys());
        }
    }
}
