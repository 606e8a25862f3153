package org.hyssopswitch.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.hyssopswitch.bench.slope.LinearFit;
import org.hyssopswitch.bench.slope.Slope;
import org.hyssopswitch.bench.slope.SlopeTable;

/** The text of the capacity page, computed from slopes and target only. */
public final class CapacityPage {

    private final SlopeTable slopes;
    private final Target target;
    private final List<String> out = new ArrayList<>();

    /**
     * Creates a page.
     *
     * @param slopes the measured slopes
     * @param target the users' numbers
     */
    public CapacityPage(SlopeTable slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
    }

    /** Computes the lines of the page. */
    public List<String> lines() {
        out.clear();
        List<CapacityLine> roles = new ArrayList<>(new RoleModel(slopes, target).lines());
        roles.addAll(totals(roles));
        List<CapacityLine> storms = new StormModel(slopes, target).lines();
        heading();
        misfits(roles, storms);
        unmeasured(roles, storms);
        tables("The roles of a VM at the target", roles);
        tables("The worst minutes", storms);
        inputs();
        measured();
        return List.copyOf(out);
    }

    private void heading() {
        out.add("# Capacity at the target");
        out.add("");
        out.add(
                "Computed by `hyssop-capacity` from `docs/capacity/slopes.csv` (samples that `hyssop-slopes` measured on"
                        + " one machine) and `docs/capacity/target.csv` (the users' numbers, and bounds that the code sets). No"
                        + " figure is typed in. `bin/capacity-page` computes the page again; `bin/capacity-page --measure`"
                        + " measures first. A slope carries beyond the sizes that were measured, so read a figure far outside of"
                        + " them as an estimate; the sizes are at the end.");
        out.add("");
        out.add("A slope within twice its standard error of 0 counts as 0, and the quantity as its mean. Control"
                + " traffic counts the bytes that a VM sends, as encoded frames without TCP and IP headers.");
        out.add("");
    }

    private void misfits(List<CapacityLine> roles, List<CapacityLine> storms) {
        out.add("## What does not fit");
        out.add("");
        List<CapacityLine> all = new ArrayList<>(roles);
        all.addAll(storms);
        List<CapacityLine> misfits = all.stream().filter(CapacityLine::exceeds).toList();
        if (misfits.isEmpty()) {
            out.add("Every measured line fits.");
        } else {
            out.add("| role or event | line | at the target | limit | too large by | what would change |");
            out.add("|---|---|---|---|---|---|");
        }
        misfits.forEach(l -> out.add(row(
                l.role(),
                l.subject(),
                quantity(l.value(), l.unit()),
                quantity(l.limit(), l.unit()),
                number(1 / l.factor().orElseThrow()) + " times",
                l.remedy())));
        out.add("");
    }

    private void unmeasured(List<CapacityLine> roles, List<CapacityLine> storms) {
        out.add("## What has not been measured");
        out.add("");
        List<CapacityLine> all = new ArrayList<>(roles);
        all.addAll(storms);
        all.stream()
                .filter(l -> l.value().isEmpty())
                .forEach(l -> out.add("* " + l.role() + ": " + l.subject() + " (" + l.unit() + ")"));
        out.add("* more than one VM per machine at a time: figures of processor time come from one machine only");
        out.add(
                "* databases and client accounts in use on a VM: the users give no number; one per connection is the most");
        out.add("");
    }

    private void tables(String title, List<CapacityLine> lines) {
        out.add("## " + title);
        Map<String, List<CapacityLine>> byRole = lines.stream()
                .collect(Collectors.groupingBy(CapacityLine::role, LinkedHashMap::new, Collectors.toList()));
        byRole.forEach((role, some) -> {
            out.add("");
            out.add("### " + role);
            out.add("");
            out.add("| line | carried by | at the target | limit | fits by | slopes |");
            out.add("|---|---|---|---|---|---|");
            some.forEach(l -> out.add(row(
                    l.subject(),
                    l.mechanism(),
                    quantity(l.value(), l.unit()),
                    l.limit().isPresent() ? quantity(l.limit(), l.unit()) : "none given",
                    fits(l),
                    String.join(" ", l.slopes()))));
        });
        out.add("");
    }

    /** Sums over all roles of a VM, with the two lines that depend on the callers alone and without them. */
    private static List<CapacityLine> totals(List<CapacityLine> roles) {
        List<CapacityLine> totals = new ArrayList<>();
        for (String unit : List.of("bytes/s", "ms/s", "MB")) {
            List<CapacityLine> some = roles.stream()
                    .filter(l -> l.unit().equals(unit)
                            && l.limit().isPresent()
                            && l.value().isPresent())
                    .toList();
            if (some.isEmpty()) {
                continue;
            }
            OptionalDouble limit = some.get(0).limit();
            totals.add(total("sum of all lines", unit, some, limit));
            List<CapacityLine> calm =
                    some.stream().filter(l -> !l.subject().contains("in use")).toList();
            totals.add(total("sum without lines that grow with what callers use", unit, calm, limit));
        }
        return totals;
    }

    private static CapacityLine total(String subject, String unit, List<CapacityLine> lines, OptionalDouble limit) {
        double sum = lines.stream().mapToDouble(l -> l.value().getAsDouble()).sum();
        return new CapacityLine(
                "all roles of a VM together",
                subject,
                lines.size() + " lines",
                unit,
                OptionalDouble.of(sum),
                limit,
                List.of(),
                "see the lines above");
    }

    private void inputs() {
        out.add("## The users' numbers and what follows from them");
        out.add("");
        out.add("| number | value |");
        out.add("|---|---|");
        target.meanings().forEach((name, meaning) -> out.add(row(meaning, number(target.get(name)))));
        out.add(row("VMs of a data centre", number(target.vmsPerDataCentre())));
        out.add(row("cells of the fleet", number(target.cells())));
        out.add(row("VMs of a cell", number(target.vmsPerCell())));
        out.add(row("endpoints that a VM is home to", number(target.endpointsPerVm())));
        out.add(row("connections of a VM", number(target.connectionsPerVm())));
        out.add(row("statements a second of a VM", number(target.statementsPerVm())));
        out.add(row("slots that a VM owns", number(target.slotsPerVm())));
        out.add("");
    }

    private void measured() {
        out.add("## The measured slopes");
        out.add("");
        out.add("| slope | quantity | at 0 | for each | of | standard error | residual | sizes measured |");
        out.add("|---|---|---|---|---|---|---|---|");
        for (Slope slope : slopes.slopes()) {
            LinearFit fit = slope.fit();
            String sizes = slope.samples().stream().map(s -> number(s.size())).collect(Collectors.joining(" "));
            out.add(row(
                    slope.id(),
                    slope.quantity(),
                    number(fit.intercept()),
                    number(fit.slope()),
                    slope.per(),
                    number(fit.slopeError()),
                    number(fit.residual()),
                    sizes));
        }
    }

    private static String fits(CapacityLine line) {
        if (line.value().isEmpty()) {
            return "not measured";
        }
        if (line.limit().isEmpty()) {
            return "no limit given";
        }
        if (line.factor().isEmpty()) {
            return "yes, none used";
        }
        double factor = line.factor().getAsDouble();
        return factor >= 1 ? number(factor) + " times" : "**no: " + number(1 / factor) + " times too large**";
    }

    private static String quantity(OptionalDouble value, String unit) {
        return value.isPresent() ? number(value.getAsDouble()) + " " + unit : "not measured";
    }

    private static String row(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String number(double value) {
        if (value == 0) {
            return "0";
        }
        if (Math.abs(value) >= 1_000) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        int digits = (int) Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(9, digits) + "f", value);
    }
}
