package org.hyssopswitch.bench.configuration;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.hyssopswitch.core.configuration.ConfigurationSettings;
import org.hyssopswitch.core.configuration.ConfigurationSystem;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.proxy.vm.VmMessages;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/** Prints bytes per VM, calls to the platform and time to force in one cell, in virtual time and by its size. */
public final class ConfigurationSpread {

    private static final long SEED = 20_261_203;
    private static final int[] SIZES = {6, 12, 24, 48};
    private static final long STEP_MILLIS = 20;
    private static final long WATCH_MILLIS = 5_000;
    private static final long CALM_MILLIS = 120_000;
    private static final int CHANGES = 20;
    private static final int DATABASES = 30;
    private static final String PATH = "config/teams/team-0";

    private final MessageCodec codec = new MessageCodec(VmMessages.registry(), 4 << 20);
    private final TeamConfigurationCodec teams = new TeamConfigurationCodec();
    private final SampleTeams samples = new SampleTeams(SEED);
    private final List<ConfigurationSystem> systems = new ArrayList<>();
    private final List<VmAddress> members;
    private List<Delivery> messages = new ArrayList<>();
    private List<Watch> watches = new ArrayList<>();
    private StoredObject object = new StoredObject(PATH, 0, new byte[0]);
    private long nowMillis;
    private long bytes;
    private long calls;
    private long numbers;

    private ConfigurationSpread(int size) {
        this.members =
                IntStream.range(0, size).mapToObj(ConfigurationSpread::address).toList();
        SplittableRandom random = new SplittableRandom(SEED);
        for (VmAddress self : members) {
            systems.add(new ConfigurationSystem(
                    new FixedView(self, members),
                    this::decode,
                    ConfigurationSettings.DEFAULT,
                    () -> ++numbers,
                    random.split()));
        }
    }

    /**
     * Runs the measurement.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        print(System.out);
    }

    /**
     * Prints the table.
     *
     * @param out takes the table
     */
    public static void print(PrintStream out) {
        out.printf("seed %d, subtree of %d databases, %d changes of one account%n", SEED, DATABASES, CHANGES);
        out.printf("| VMs of the cell | bytes/s per VM, calm | bytes per change and VM | calls/min of the cell, calm |"
                + " calls per change | greatest ms to force |%n|---|---|---|---|---|---|%n");
        for (int size : SIZES) {
            new ConfigurationSpread(size).measure(out);
        }
    }

    private void measure(PrintStream out) {
        TeamConfiguration team = samples.create("team-0", DATABASES);
        write(team);
        converge();
        run(WATCH_MILLIS);
        long bytesBefore = bytes;
        long callsBefore = calls;
        run(CALM_MILLIS);
        double calmBytes = (bytes - bytesBefore) / (CALM_MILLIS / 1_000.0) / members.size();
        double calmCalls = (calls - callsBefore) / (CALM_MILLIS / 60_000.0);
        long greatest = 0;
        bytesBefore = bytes;
        callsBefore = calls;
        long began = nowMillis;
        for (int i = 0; i < CHANGES; i++) {
            team = samples.change(team, 1);
            write(team);
            greatest = Math.max(greatest, converge());
            run(2_000);
        }
        double seconds = (nowMillis - began) / 1_000.0;
        double changeBytes = ((double) (bytes - bytesBefore) / members.size() - calmBytes * seconds) / CHANGES;
        double changeCalls = (calls - callsBefore - calmCalls * seconds / 60) / CHANGES;
        out.printf(
                Locale.ROOT,
                "| %d | %.0f | %.0f | %.1f | %.1f | %d |%n",
                members.size(),
                calmBytes,
                changeBytes,
                calmCalls,
                changeCalls,
                greatest);
    }

    private void write(TeamConfiguration team) {
        object = new StoredObject(PATH, object.version() + 1, teams.encode(team));
    }

    private long converge() {
        long began = nowMillis;
        while (systems.stream().anyMatch(s -> s.version() < object.version())) {
            step();
        }
        return nowMillis - began;
    }

    private void run(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            step();
        }
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        List<Delivery> due = messages;
        messages = new ArrayList<>();
        due.forEach(d -> handle(d.to(), new Event.MessageReceived(d.from(), d.message())));
        List<Watch> open = watches;
        watches = new ArrayList<>();
        open.forEach(this::answerOrKeep);
        for (int i = 0; i < systems.size(); i++) {
            VmAddress self = members.get(i);
            systems.get(i).tick(nowMillis, a -> perform(self, a));
        }
    }

    private void answerOrKeep(Watch watch) {
        boolean changed = object.version() > watch.after();
        if (!changed && nowMillis - watch.sentMillis() < WATCH_MILLIS) {
            watches.add(watch);
            return;
        }
        PrefixChanges changes = new PrefixChanges(object.version(), changed ? List.of(object) : List.of());
        handle(watch.by(), new Event.PrefixWatchCompleted(watch.call(), Either.right(changes)));
    }

    private void handle(VmAddress to, Event event) {
        systems.get(members.indexOf(to)).handle(event, nowMillis, a -> perform(to, a));
    }

    private void perform(VmAddress self, Action action) {
        if (action instanceof Action.SendMessage send) {
            bytes += codec.encode(send.message()).get().length;
            messages.add(new Delivery(self, send.to(), send.message()));
        } else if (action instanceof Action.WatchPrefix watch) {
            calls++;
            watches.add(new Watch(self, watch.call(), watch.afterVersion(), nowMillis));
        } else if (action instanceof Action.ReadObject read) {
            calls++;
            handle(self, answer(read.call(), read.path()));
        } else if (action instanceof Action.UpdateObject update) {
            calls++;
            handle(
                    self,
                    new Event.ObjectCallCompleted(
                            update.call(),
                            Either.right(
                                    new StoredObject(update.path(), update.expectedVersion() + 1, update.value()))));
        }
    }

    private static Event answer(long call, String path) {
        return new Event.ObjectCallCompleted(
                call, Either.right(new StoredObject(path, 0, "".getBytes(StandardCharsets.UTF_8))));
    }

    private Either<? extends Failure, TeamConfiguration> decode(TeamId team, long version, byte[] value) {
        return teams.decode(team, version, value);
    }

    private static VmAddress address(int index) {
        return new VmAddress(
                new VmId("recife-" + index),
                1_764_800_000_000L + index,
                new DataCentreId("recife"),
                new CellId("recife-a"),
                "10.0.0." + (index + 1),
                7_000);
    }

    private record Delivery(VmAddress from, VmAddress to, PeerMessage message) {}

    private record Watch(VmAddress by, long call, long after, long sentMillis) {}
}
