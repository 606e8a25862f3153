package org.hyssopswitch.pool.failover;

import java.util.HashMap;
import java.util.Map;

/** Tracks which VMs cannot reach an endpoint as the primary of its group, by their latest reports. */
final class UnreachabilityReports {

    /** Time for which a report is valid, milliseconds: longer than three reporting periods. */
    private static final long REPORT_VALIDITY_MILLIS = 900;

    private final Map<String, Map<String, Long>> reportTimesMillis = new HashMap<>();

    void add(String group, String endpoint, String vm, long nowMillis) {
        reportTimesMillis
                .computeIfAbsent(key(group, endpoint), key -> new HashMap<>())
                .put(vm, nowMillis);
    }

    /** Returns the number of VMs with a valid report about an endpoint. */
    int count(String group, String endpoint, long nowMillis) {
        Map<String, Long> reports = reportTimesMillis.get(key(group, endpoint));
        if (reports == null) {
            return 0;
        }
        reports.values().removeIf(at -> nowMillis - at > REPORT_VALIDITY_MILLIS);
        return reports.size();
    }

    private static String key(String group, String endpoint) {
        return group + " " + endpoint;
    }
}
