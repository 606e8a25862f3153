package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.failover.FailoverTables;
import org.hyssopswitch.pool.failover.FenceRecord;
import org.hyssopswitch.pool.failover.LeadershipRecord;
import org.hyssopswitch.pool.failover.PromotionAuthority;
import org.hyssopswitch.pool.peer.PeerLinkListener;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that shrinks, or splits into two, because the store came back from a copy. */
class FleetMembershipTests {

    private final ManualLoop loop = new ManualLoop();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final FakeObjectTable<VmEntry> vms = new FakeObjectTable<>(loop);
    private final FakeObjectTable<FleetSecret> secrets = new FakeObjectTable<>(loop);
    private Map<String, String> dataCentres = new HashMap<>();

    @Test
    void registersAndWritesTheSecretAgainWhenTheStoreHasLostThem() throws IOException {
        vms.setEra(1);
        secrets.setEra(1);
        FakeObjectTable.Copy<VmEntry> vmCopy = vms.copy();
        FakeObjectTable.Copy<FleetSecret> secretCopy = secrets.copy();
        start();
        loop.advance(10_000);
        FleetSecret before = secret();
        vms.restore(vmCopy);
        secrets.restore(secretCopy);
        assertNull(secret());
        loop.advance(10_000);
        assertEquals(before, secret());
        assertEquals(Set.of("vm-1"), vms.copy().objects().keySet());
    }

    @Test
    void keepsVmsThatTheStoreHasLostUntilTheyHadTimeToRegisterAgain() throws IOException {
        vms.setEra(1);
        secrets.setEra(1);
        FakeObjectTable.Copy<VmEntry> vmCopy = vms.copy();
        vms.put("vm-2", entry("dc-1"));
        start();
        loop.advance(10_000);
        assertEquals(Set.of("vm-1", "vm-2"), dataCentres.keySet());
        vms.restore(vmCopy);
        secrets.restore(secrets.copy());
        loop.advance(8_000);
        assertEquals(Set.of("vm-1", "vm-2"), dataCentres.keySet());
        loop.advance(20_000);
        assertEquals(Set.of("vm-1"), dataCentres.keySet());
    }

    /** Guards against a fleet that finds itself late after a loss of power, because VMs register after other calls. */
    @Test
    void registersBeforeItKnowsTheSecretAndReplacesItsEarlierEntry() throws IOException {
        vms.put("vm-1", entry("dc-old"));
        secrets.setUnavailable(true);
        start();
        loop.advance(100);
        assertEquals("dc-0", vms.copy().objects().get("vm-1").value().get().dataCentre());
    }

    /** Guards against an entry of another writer that hides all VMs of the fleet. */
    @Test
    void findsTheOthersBesideAnEntryThatNamesNoVm() throws IOException {
        vms.put("vm-2", entry("dc-2"));
        vms.put("vm-odd", new VmEntry("dc-1", "127.0.0.1", 99_999, 1));
        vms.put("vm-older", new VmEntry("dc-1", "127.0.0.1", 7_560, -1));
        vms.put("vm-nowhere", new VmEntry(null, null, 7_560, 1));
        start();
        loop.advance(1_000);
        assertEquals(Set.of("vm-1", "vm-2"), dataCentres.keySet());
    }

    private FleetSecret secret() {
        VersionedObject<FleetSecret> stored = secrets.copy().objects().get("secret");
        return stored == null ? null : stored.value().get();
    }

    private void start() throws IOException {
        VmDependencies dependencies = new VmDependencies(
                "vm-1",
                entry("dc-0"),
                loop,
                loop::nowMillis,
                new Random(1),
                eras,
                (endpoint, account, listener) -> {
                    throw new AssertionError("a membership must not connect to endpoints");
                },
                new FakeObjectTable<Catalog>(loop),
                new FakeObjectTable<Endpoint>(loop),
                vms.client(eras),
                secrets.client(eras),
                new FailoverTables(
                        new FakeObjectTable<LeadershipRecord>(loop),
                        new FakeObjectTable<CommitHolders>(loop),
                        new FakeObjectTable<FenceRecord>(loop)),
                (order, done) -> done.accept(PromotionAuthority.Answer.REJECTED),
                rows -> Option.none());
        FleetMembership membership = new FleetMembership(
                dependencies, new IgnoringListener(), links -> {}, changed -> dataCentres = changed);
        eras.addListener((previous, era) -> membership.eraAdvanced());
        membership.start();
    }

    private static final class IgnoringListener implements PeerLinkListener {

        @Override
        public void received(String vm, PeerMessage message) {}

        @Override
        public void linkOpened(String vm) {}

        @Override
        public void linkFailed(String vm) {}
    }

    private static VmEntry entry(String dataCentre) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new VmEntry(dataCentre, "127.0.0.1", free.getLocalPort(), 1);
        }
    }
}
