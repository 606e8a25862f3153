package org.hyssopswitch.pool.vm;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.pool.peer.DefaultPeerLinks;
import org.hyssopswitch.pool.peer.PeerLinkListener;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Registers this VM in the store, reads the list of the other VMs and maintains the links to them. */
final class FleetMembership {

    private static final String SECRET_NAME = "secret";
    private static final int SECRET_BYTES = 24;

    /** Delay before a failed call to the store is repeated, milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 400;

    /** Period in which the list of VMs is read, milliseconds: VMs are rarely added or removed. */
    private static final long LIST_PERIOD_MILLIS = 5_000;

    /** Period in which the list of VMs is read while the fleet starts, milliseconds. */
    private static final long STARTUP_LIST_PERIOD_MILLIS = 1_500;

    /** Number of reads of the list of VMs at the shorter period. */
    private static final int STARTUP_LIST_COUNT = 6;

    /**
     * Time for which a VM that is missing after the store came back from a copy stays in the list, milliseconds: it
     * registers again once it learns of the copy, at the latest with its next read of the list.
     */
    private static final long REGISTRATION_GRACE_MILLIS = 3 * LIST_PERIOD_MILLIS;

    /** Maximum random delay of a repeated registration, milliseconds, so that the VMs do not write all at once. */
    private static final int MAX_REGISTRATION_JITTER_MILLIS = 1_000;

    private static final Logger LOG = LogManager.getLogger(FleetMembership.class);

    private final VmDependencies dependencies;
    private final DecisionLoop loop;
    private final PeerLinkListener listener;
    private final Consumer<PeerLinks> connected;
    private final Consumer<Map<String, String>> changed;
    private Option<DefaultPeerLinks> links = Option.none();
    private List<VersionedObject<VmEntry>> entries = List.of();
    private Map<String, String> dataCentres = Map.of();
    private int listCount;
    private long retainMissingUntilMillis = Long.MIN_VALUE;
    private Option<FleetSecret> ownSecret = Option.none();
    private boolean registering;

    /**
     * Creates the membership of one VM.
     *
     * @param dependencies external dependencies of the VM
     * @param listener receives messages from other VMs and the events of the links to them
     * @param connected receives the links once messages can be sent
     * @param changed receives the data centre of all VMs by name, this one included
     */
    FleetMembership(
            VmDependencies dependencies,
            PeerLinkListener listener,
            Consumer<PeerLinks> connected,
            Consumer<Map<String, String>> changed) {
        this.dependencies = dependencies;
        this.loop = dependencies.loop();
        this.listener = listener;
        this.connected = connected;
        this.changed = changed;
    }

    void start() {
        scheduleList();
        readSecret();
    }

    /** The store has come back from a copy: writes what it may lack, and keeps the VMs that are missing for a while. */
    void eraAdvanced() {
        retainMissingUntilMillis = loop.nowMillis() + REGISTRATION_GRACE_MILLIS;
        if (registering) {
            loop.schedule(dependencies.random().nextInt(MAX_REGISTRATION_JITTER_MILLIS), this::registerAgain);
        }
    }

    private void registerAgain() {
        register(Option.none());
        ownSecret.forEach(this::restoreSecret);
    }

    /** Writes the secret of the fleet again if the store has lost it. */
    private void restoreSecret(FleetSecret secret) {
        dependencies.secrets().write(SECRET_NAME, Option.none(), secret, result -> {
            if (result.isLeft() && !(result.getLeft() instanceof StoreFailure.Conflict)) {
                retry(result, () -> restoreSecret(secret));
            }
        });
    }

    private void readSecret() {
        dependencies.secrets().read(SECRET_NAME, result -> {
            if (result.isLeft()) {
                retry(result, this::readSecret);
            } else if (result.get().flatMap(VersionedObject::value).isDefined()) {
                openLinks(result.get().get().value().get());
            } else {
                createSecret();
            }
        });
    }

    private void createSecret() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        FleetSecret secret = new FleetSecret(Base64.getEncoder().encodeToString(bytes));
        dependencies.secrets().write(SECRET_NAME, Option.none(), secret, result -> {
            if (result.isRight()) {
                openLinks(secret);
            } else {
                retry(result, this::readSecret);
            }
        });
    }

    private void openLinks(FleetSecret secret) {
        ownSecret = Option.some(secret);
        VmEntry self = dependencies.self();
        PeerOptions options = new PeerOptions(
                new VmId(dependencies.name()),
                self.incarnation(),
                new DataCentreId(self.dataCentre()),
                new CellId(self.dataCentre()),
                self.host(),
                self.port(),
                secret.secret().getBytes(StandardCharsets.UTF_8),
                PeerOptions.Limits.DEFAULT);
        DefaultPeerLinks opened = new DefaultPeerLinks(options, loop, new Random(self.incarnation()), listener);
        links = Option.some(opened);
        opened.update(addresses(entries));
        connected.accept(opened);
    }

    private void register(Option<StorePosition> expected) {
        dependencies.vms().write(dependencies.name(), expected, dependencies.self(), result -> {
            if (result.isRight()) {
                LOG.info("event=vm_registered position={}", result.get().position());
            } else if (result.getLeft() instanceof StoreFailure.Conflict) {
                dependencies.vms().read(dependencies.name(), found -> {
                    if (found.isLeft()) {
                        retry(found, () -> register(Option.none()));
                    } else {
                        register(found.get().map(VersionedObject::position));
                    }
                });
            } else {
                retry(result, () -> register(expected));
            }
        });
    }

    private void scheduleList() {
        listCount++;
        loop.schedule(
                listCount < STARTUP_LIST_COUNT ? STARTUP_LIST_PERIOD_MILLIS : LIST_PERIOD_MILLIS, this::scheduleList);
        requestList();
    }

    private void requestList() {
        // The first list must not be stale: a VM that starts must know all VMs that started before it.
        dependencies.vms().list(!dataCentres.isEmpty(), result -> result.peek(this::registerOnce)
                .peek(this::applyListing)
                .peekLeft(failure -> {
                    LOG.warn("event=vm_list_failed cause=\"{}\"", failure.describe());
                    if (dataCentres.isEmpty()) {
                        loop.schedule(RETRY_DELAY_MILLIS, this::requestList);
                    }
                }));
    }

    /**
     * Registers this VM as soon as the first list shows whether an earlier incarnation of it is registered, before it knows
     * the secret: the VMs of a fleet that starts find each other only after they have registered.
     */
    private void registerOnce(Listing<VmEntry> first) {
        if (!registering) {
            registering = true;
            register(Option.ofOptional(first.objects().stream()
                    .filter(stored -> stored.name().equals(dependencies.name()))
                    .map(VersionedObject::position)
                    .findFirst()));
        }
    }

    private void applyListing(Listing<VmEntry> listing) {
        List<VersionedObject<VmEntry>> known = withRetained(
                listing.objects().stream().filter(FleetMembership::isUsable).toList());
        Map<String, String> current = new HashMap<>();
        current.put(dependencies.name(), dependencies.self().dataCentre());
        known.forEach(stored -> current.put(stored.name(), stored.value().get().dataCentre()));
        entries = known;
        links.forEach(opened -> opened.update(addresses(known)));
        if (!current.equals(dataCentres)) {
            LOG.info(
                    "event=fleet_changed from={} to={} position={}",
                    dataCentres.size(),
                    current.size(),
                    listing.position());
            dataCentres = current;
            changed.accept(current);
        }
    }

    /**
     * Adds the VMs that are missing since the store came back from a copy. Without them, the remaining VMs would take
     * over parts of rates that those VMs still use.
     */
    private List<VersionedObject<VmEntry>> withRetained(List<VersionedObject<VmEntry>> listed) {
        if (loop.nowMillis() >= retainMissingUntilMillis) {
            return listed;
        }
        Set<String> names = listed.stream().map(VersionedObject::name).collect(Collectors.toSet());
        List<VersionedObject<VmEntry>> all = new ArrayList<>(listed);
        entries.stream().filter(known -> !names.contains(known.name())).forEach(all::add);
        return all;
    }

    /** Whether the entry names a VM; one that another writer has left must not hide the others. */
    private static boolean isUsable(VersionedObject<VmEntry> stored) {
        return stored.value().exists(entry -> Try.of(() -> address(stored.name(), entry))
                .onFailure(error ->
                        LOG.warn("event=vm_entry_unusable vm={} cause=\"{}\"", stored.name(), error.getMessage()))
                .isSuccess());
    }

    private static Collection<VmAddress> addresses(List<VersionedObject<VmEntry>> known) {
        return known.stream()
                .map(stored -> address(stored.name(), stored.value().get()))
                .toList();
    }

    private static VmAddress address(String name, VmEntry entry) {
        return new VmAddress(
                new VmId(name),
                entry.incarnation(),
                new DataCentreId(entry.dataCentre()),
                new CellId(entry.dataCentre()),
                entry.host(),
                entry.port());
    }

    private void retry(Either<StoreFailure, ?> result, Runnable again) {
        LOG.warn("event=fleet_call_failed cause=\"{}\"", result.getLeft().describe());
        loop.schedule(RETRY_DELAY_MILLIS, again);
    }
}
