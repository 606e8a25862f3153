package org.hyssopswitch.pool.session;

import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/** Logs refused sessions and failed or retried requests, up to a maximum number of lines a second. */
public final class RequestLog {

    /** Lines a second; suppressed lines are counted, and the next line of a failed request reports their number. */
    private static final int MAX_LINES_PER_SECOND = 50;

    private static final long WINDOW_MILLIS = 1_000;
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);

    private final LongSupplier clock;
    private final LongSupplier configurationAge;
    private long windowStartMillis;
    private int linesInWindow;
    private long suppressed;

    /**
     * Creates a log.
     *
     * @param clock milliseconds of the monotonic clock
     * @param configurationAge milliseconds since the configuration in force was last confirmed to be the latest
     */
    public RequestLog(LongSupplier clock, LongSupplier configurationAge) {
        this.clock = clock;
        this.configurationAge = configurationAge;
        this.windowStartMillis = clock.getAsLong();
    }

    void sessionRefused(String database, ErrorCode code, long version) {
        if (acquireLine()) {
            LOG.info(
                    "event=session_refused database={} code={} configuration={} configuration_age_ms={}",
                    database,
                    code,
                    version,
                    configurationAge.getAsLong());
        }
    }

    void requestCompleted(RequestContext context, Reply reply, long tookMillis) {
        if (reply.outcome() instanceof StatementOutcome.Failed failed && acquireLine()) {
            LOG.info(
                    "event=request_failed request={} database={} account={} configuration={}"
                            + " configuration_age_ms={} code={} took_ms={} suppressed={} cause=\"{}\"",
                    context.request(),
                    context.database(),
                    context.account(),
                    context.configuration(),
                    configurationAge.getAsLong(),
                    failed.code(),
                    tookMillis,
                    suppressed,
                    failed.text());
            suppressed = 0;
        }
    }

    void requestRetried(String request, String endpoint, ErrorCode code, int attempt) {
        if (acquireLine()) {
            LOG.info(
                    "event=request_retried request={} endpoint={} code={} attempt={}",
                    request,
                    endpoint,
                    code,
                    attempt);
        }
    }

    private boolean acquireLine() {
        long now = clock.getAsLong();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now;
            linesInWindow = 0;
        }
        boolean permitted = linesInWindow < MAX_LINES_PER_SECOND;
        linesInWindow++;
        if (!permitted) {
            suppressed++;
        }
        return permitted;
    }

    /**
     * What a log line says about a request besides its outcome.
     *
     * @param request the caller's identifier of the request
     * @param database the database name
     * @param account the client account
     * @param configuration version of the current configuration
     */
    record RequestContext(String request, String database, String account, long configuration) {}
}
