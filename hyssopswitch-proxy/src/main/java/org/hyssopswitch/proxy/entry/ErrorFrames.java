package org.hyssopswitch.proxy.entry;

import java.io.ByteArrayOutputStream;
import org.hyssopswitch.core.failure.Execution;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.wire.BackendFrames;

/** Reports refusals to callers. */
final class ErrorFrames {

    private ErrorFrames() {}

    static byte[] fatal(Refusal refusal) {
        return error("FATAL", refusal);
    }

    static byte[] error(Refusal refusal) {
        return error("ERROR", refusal);
    }

    static byte[] errorAndReady(Refusal refusal, TransactionState state) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(error(refusal));
        out.writeBytes(BackendFrames.readyForQuery(state.code()).encode());
        return out.toByteArray();
    }

    private static byte[] error(String severity, Refusal refusal) {
        String detail = "execution: " + describe(refusal.execution());
        String hint = refusal.retryAfterMillis() > 0 ? "retry after " + refusal.retryAfterMillis() + " ms" : "";
        return BackendFrames.errorResponse(severity, refusal.sqlState(), refusal.describe(), detail, hint)
                .encode();
    }

    private static String describe(Execution execution) {
        return switch (execution) {
            case NOT_RUN -> "not run";
            case OUTCOME_UNKNOWN -> "outcome unknown";
            case FAILED -> "failed";
        };
    }
}
