package org.hyssopswitch.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** Runs membership systems in virtual time and delivers their messages one tick after they were sent. */
final class FakeNetwork {

    static final long TICK_MILLIS = 50;

    final Set<VmAddress> downVms = new HashSet<>();
    final Set<String> cutLinks = new HashSet<>();
    List<VmAddress> listed = List.of();
    List<VmAddress> listedLeaving = List.of();
    boolean platformDown;
    int listCallCount;
    int sentMessageCount;
    int maxUpdatesPerPing;

    private final Map<VmAddress, MembershipSystem> systems = new LinkedHashMap<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private List<Sent> inFlight = new ArrayList<>();
    private long nowMillis;

    static VmAddress vm(String name, String cell, long incarnation) {
        return new VmAddress(new VmId(name), incarnation, new DataCentreId(cell), new CellId(cell), "127.0.0.1", 7000);
    }

    MembershipSystem start(VmAddress address, VmAddress... seeds) {
        MembershipSystem system =
                new MembershipSystem(address, List.of(seeds), MembershipSettings.DEFAULT, random.split());
        systems.put(address, system);
        return system;
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += TICK_MILLIS;
            List<Sent> due = inFlight;
            inFlight = new ArrayList<>();
            due.forEach(this::deliver);
            systems.forEach((address, system) -> {
                if (!downVms.contains(address)) {
                    system.tick(nowMillis, action -> perform(address, action));
                }
            });
        }
    }

    private void perform(VmAddress from, Action action) {
        if (action instanceof Action.ListVms) {
            listCallCount++;
            if (!platformDown) {
                systems.get(from).handle(new Event.VmsListed(listed, listedLeaving), nowMillis, a -> perform(from, a));
            }
        } else if (action instanceof Action.SendMessage send) {
            sentMessageCount++;
            inFlight.add(new Sent(from, send));
        }
    }

    private void deliver(Sent sent) {
        VmAddress from = sent.from();
        VmAddress to = sent.send().to();
        String link = from.vm() + "-" + to.vm();
        if (!systems.containsKey(to) || downVms.contains(to) || downVms.contains(from) || cutLinks.contains(link)) {
            return;
        }
        if (sent.send().message() instanceof MembershipPing ping) {
            maxUpdatesPerPing = Math.max(maxUpdatesPerPing, ping.updates().size());
        }
        systems.get(to).handle(new Event.MessageReceived(from, sent.send().message()), nowMillis, a -> perform(to, a));
    }

    private record Sent(VmAddress from, Action.SendMessage send) {}
}
