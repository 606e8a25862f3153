package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.connection.ExpectedReply;
import org.hyssopswitch.core.connection.ReceivedReply;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/** Describes commands and replies by what tells the replies of a connection apart. */
final class ReplyFactUtils {

    private static final String COMMIT = "COMMIT";

    private ReplyFactUtils() {}

    static ExpectedReply expectedReply(EndpointCommand command) {
        if (command instanceof EndpointCommand.Forward forward) {
            boolean commit = forward.text().equals(COMMIT) || forward.text().startsWith(COMMIT + " ");
            return commit ? ExpectedReply.COMMIT : ExpectedReply.STATEMENT;
        }
        if (command instanceof EndpointCommand.Execute) {
            return ExpectedReply.STATEMENT;
        }
        if (command instanceof EndpointCommand.Begin) {
            return ExpectedReply.TRANSACTION_START;
        }
        if (command instanceof EndpointCommand.Rollback) {
            return ExpectedReply.TRANSACTION_END;
        }
        return command.reportsStatus() ? ExpectedReply.CONTROL : ExpectedReply.SETUP;
    }

    static ReceivedReply receivedReply(Reply reply) {
        Option<String> signature = reply.outcome() instanceof StatementOutcome.Success success
                        && !success.equals(StatementOutcome.Success.LOCAL)
                ? Option.some(success.signature())
                : Option.none();
        return new ReceivedReply(reply.succeeded(), signature, !reply.rows().isEmpty(), reply.status());
    }
}
