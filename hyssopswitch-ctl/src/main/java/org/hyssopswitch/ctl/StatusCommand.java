package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.platform.PlatformClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows which version each cell has in force. */
@Command(name = "status", description = "Shows which version each cell has in force.")
final class StatusCommand extends AbstractCommand {

    @Mixin
    private PlatformMixin platform;

    @Override
    Either<CtlFailure, ?> run() {
        return platform.with(this::show);
    }

    private Either<CtlFailure, Integer> show(PlatformClient client) {
        InForceWaiter waiter = new InForceWaiter(client, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        return waiter.cells().flatMap(cells -> waiter.status().map(reports -> {
            print(cells, reports);
            return 0;
        }));
    }

    private void print(Map<String, Integer> cells, List<InForceWaiter.CellReport> reports) {
        long highest = reports.stream()
                .mapToLong(InForceWaiter.CellReport::version)
                .max()
                .orElse(0);
        for (InForceWaiter.CellReport report : reports) {
            String state = report.version() < highest ? "behind" : "in force";
            out().println("cell=" + report.cell() + " data_centre=" + report.dataCentre() + " vms=" + report.members()
                    + " listed=" + cells.getOrDefault(report.cell(), 0) + " version=" + report.version() + " state=\""
                    + state + "\" lagging=" + report.lagging());
        }
        cells.keySet().stream()
                .filter(c -> reports.stream().noneMatch(r -> r.cell().equals(c)))
                .forEach(c -> out().println("cell=" + c + " listed=" + cells.get(c) + " state=\"no report\""));
    }
}
