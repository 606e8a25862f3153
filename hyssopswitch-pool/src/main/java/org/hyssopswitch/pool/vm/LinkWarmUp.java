package org.hyssopswitch.pool.vm;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Opens the links to the VMs that this one will ask, a few at a time, before the first callers arrive.
 *
 * <p>Otherwise the first operations at all VMs of a fleet that starts open their links at the same moment, and wait for
 * them and for code that has not run yet.
 */
final class LinkWarmUp {

    private final Consumer<String> ping;
    private final Deque<String> remaining = new ArrayDeque<>();
    private final Set<String> known = new HashSet<>();

    /**
     * Creates a warm-up without VMs.
     *
     * @param ping sends a message to a VM that it answers
     */
    LinkWarmUp(Consumer<String> ping) {
        this.ping = ping;
    }

    /**
     * Adds the VMs that this one asks, except those that were added before.
     *
     * @param vms names of the VMs
     */
    void add(Collection<String> vms) {
        vms.stream().filter(known::add).forEach(remaining::addLast);
    }

    /** Pings the next VM, if one remains; called every few milliseconds. */
    void tick() {
        if (!remaining.isEmpty()) {
            ping.accept(remaining.removeFirst());
        }
    }
}
