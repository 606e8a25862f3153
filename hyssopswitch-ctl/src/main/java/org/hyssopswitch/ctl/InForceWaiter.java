package org.hyssopswitch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.platform.PlatformClient;

/** Waits until every cell with live VMs reports that a version is in force. */
final class InForceWaiter {

    private static final String PREFIX = "status/cells/";
    private static final long POLL_MILLIS = 500;

    private final PlatformClient platform;
    private final LongSupplier nowMillis;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, CellReport> reports = new TreeMap<>();
    private long seenVersion;

    InForceWaiter(PlatformClient platform, LongSupplier nowMillis) {
        this.platform = platform;
        this.nowMillis = nowMillis;
    }

    /** Waits for a version; the failure says which cells and VMs lack it. */
    Either<CtlFailure, Integer> await(long version, long waitMillis) {
        long deadline = nowMillis.getAsLong() + waitMillis;
        while (true) {
            long left = deadline - nowMillis.getAsLong();
            refresh(Math.max(0, Math.min(POLL_MILLIS, left)));
            Either<CtlFailure, Map<String, Integer>> cells = cells();
            if (cells.isRight() && lacking(cells.get(), version).isEmpty()) {
                return Either.right(
                        cells.get().values().stream().mapToInt(c -> c).sum());
            }
            if (nowMillis.getAsLong() >= deadline) {
                return cells.flatMap(c -> Either.left(new CtlFailure.NotInForce(version, lacking(c, version))));
            }
        }
    }

    /** The reports of all cells. */
    Either<CtlFailure, List<CellReport>> status() {
        return platform.watchPrefix(PREFIX, 0, 0)
                .toCompletableFuture()
                .join()
                .<CtlFailure>mapLeft(CtlFailure.PlatformFailed::new)
                .map(changes -> {
                    take(changes);
                    return List.copyOf(reports.values());
                });
    }

    /** The number of live VMs by cell. */
    Either<CtlFailure, Map<String, Integer>> cells() {
        return platform.listVms()
                .toCompletableFuture()
                .join()
                .<CtlFailure>mapLeft(CtlFailure.PlatformFailed::new)
                .map(list -> list.live().stream()
                        .collect(Collectors.toMap(InForceWaiter::cellOf, v -> 1, Integer::sum, TreeMap::new)));
    }

    private static String cellOf(VmAddress vm) {
        return vm.cell().value();
    }

    private void refresh(long waitMillis) {
        platform.watchPrefix(PREFIX, seenVersion, waitMillis)
                .toCompletableFuture()
                .join()
                .peek(this::take);
    }

    private void take(PrefixChanges changes) {
        seenVersion = Math.max(seenVersion, changes.version());
        for (StoredObject object : changes.objects()) {
            report(object).ifPresent(r -> reports.put(r.cell(), r));
        }
    }

    private java.util.Optional<CellReport> report(StoredObject object) {
        return Try.of(() -> mapper.readTree(object.value()))
                .filter(n -> n.path("cell").isTextual() && n.path("version").isIntegralNumber())
                .map(InForceWaiter::report)
                .toJavaOptional();
    }

    private static CellReport report(JsonNode node) {
        List<String> lagging = new ArrayList<>();
        node.path("lagging")
                .forEach(l -> lagging.add(
                        l.path("vm").asText() + " (version " + l.path("version").asLong() + ")"));
        return new CellReport(
                node.get("cell").asText(),
                node.path("dataCentre").asText(),
                node.path("members").asInt(),
                node.get("version").asLong(),
                lagging);
    }

    private List<String> lacking(Map<String, Integer> cells, long version) {
        List<String> result = new ArrayList<>();
        cells.forEach((cell, vms) -> {
            CellReport report = reports.get(cell);
            if (report == null) {
                result.add("cell " + cell + ": no report of its " + vms + " VMs");
            } else if (report.version() < version) {
                result.add("cell " + cell + " has version " + report.version() + "; VMs that lag: " + report.lagging());
            }
        });
        return result;
    }

    /** The report of a cell. */
    record CellReport(String cell, String dataCentre, int members, long version, List<String> lagging) {}
}
