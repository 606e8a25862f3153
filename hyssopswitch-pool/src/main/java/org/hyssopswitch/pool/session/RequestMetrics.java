package org.hyssopswitch.pool.session;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import io.vavr.control.Option;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** Counts replies by outcome and records latencies by client account and consistency of the route. */
public final class RequestMetrics {

    /** Samples kept per histogram; enough for a 99th percentile and few enough for hundreds of accounts. */
    private static final int RESERVOIR_VALUES = 256;

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry registry of the metrics
     */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void recordRequest(Option<Authorization> authorization, Reply reply, long tookMillis) {
        String outcome = reply.error().map(ErrorCode::name).getOrElse("OK");
        registry.counter("requests." + outcome).inc();
        authorization.forEach(authorized -> latencyHistogram(authorized).update(tookMillis));
    }

    private Histogram latencyHistogram(Authorization authorized) {
        Route route = authorized.route();
        return registry.histogram(
                "latency_ms." + authorized.account().name() + "." + route.consistency(),
                () -> new Histogram(new UniformReservoir(RESERVOIR_VALUES)));
    }
}
