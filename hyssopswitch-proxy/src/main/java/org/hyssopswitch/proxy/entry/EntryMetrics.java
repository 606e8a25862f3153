package org.hyssopswitch.proxy.entry;

import com.codahale.metrics.MetricRegistry;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** Counters of the entry and a histogram for each client account. */
final class EntryMetrics {

    private static final int MAX_ACCOUNTS = 10_000;

    private final MetricRegistry registry;

    EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void answered(ClientAccountId account, boolean read, boolean primary, long millis) {
        if (read) {
            registry.counter("entry.reads." + (primary ? "primary" : "replica")).inc();
        } else {
            registry.counter("entry.writes").inc();
        }
        if (registry.getHistograms().size() < MAX_ACCOUNTS) {
            registry.histogram("account." + account + ".millis").update(millis);
        }
    }

    void refused(ClientAccountId account, Refusal refusal) {
        registry.counter("entry.refusals." + refusal.getClass().getSimpleName()).inc();
        if (registry.getCounters().size() < MAX_ACCOUNTS) {
            registry.counter("account." + account + ".refusals").inc();
        }
    }

    void retried() {
        registry.counter("entry.retries").inc();
    }
}
