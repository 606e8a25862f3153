package org.hyssopswitch.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hyssopswitch.load.audit.LoadAudit;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.report.AccountReport;

/** The meters and the audit that all sessions of a run share. Thread-safe. */
final class RunContext {

    private static final double NANOS_PER_MILLI = 1e6;

    private final LoadOptions options;
    private final LoadAudit audit = new LoadAudit();
    private final Map<String, AccountMeter> meters;
    private final Map<String, WriteGap> gaps;
    private final Map<String, LongAdder> readsByRole = new ConcurrentHashMap<>();
    private final LongAdder ended = new LongAdder();

    RunContext(LoadOptions options) {
        this.options = options;
        long now = System.nanoTime();
        this.meters = options.profile().accounts().stream()
                .collect(Collectors.toMap(AccountProfile::name, a -> new AccountMeter(a, now)));
        this.gaps = options.profile().deployment().databases().stream()
                .collect(Collectors.toMap(Function.identity(), d -> new WriteGap()));
    }

    LoadOptions options() {
        return options;
    }

    LoadAudit audit() {
        return audit;
    }

    AccountMeter meter(String account) {
        return meters.get(account);
    }

    /** Counts a statement against the account's rate; true when it is within rate and burst. */
    boolean charge(SessionIdentity identity) {
        return meter(identity.account()).rate().send(System.nanoTime());
    }

    void readServedBy(String role) {
        readsByRole.computeIfAbsent(role, r -> new LongAdder()).increment();
    }

    void writeAcknowledged(String database) {
        gaps.get(database).acknowledged(System.nanoTime());
    }

    void operationEnded() {
        ended.increment();
    }

    long ended() {
        return ended.sum();
    }

    Map<String, Long> readsByRole() {
        Map<String, Long> result = new TreeMap<>();
        readsByRole.forEach((role, count) -> result.put(role, count.sum()));
        return result;
    }

    /** Ends the measurement of gaps. */
    Map<String, Double> gapMillis(long nowNanos) {
        return gaps.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().endNanos(nowNanos) / NANOS_PER_MILLI));
    }

    List<AccountReport> accountReports() {
        return options.profile().accounts().stream()
                .map(a -> meter(a.name()).report())
                .toList();
    }
}
