package org.hyssopswitch.core.limit;

import java.util.List;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;

/** One VM of a {@link LimitFleet}: its limit system, its own clock, and whether it is running. */
final class LimitVm implements MembershipView {

    private final LimitFleet fleet;
    private final VmAddress address;
    private final LimitSystem system;
    private final long clockOffsetMillis;
    private final double clockRate;
    private long pausedUntilMillis;
    private long endedMillis = Long.MAX_VALUE;
    private long calls;

    LimitVm(LimitFleet fleet, VmAddress address, LimitSettings settings, SplittableRandom random, double clockRate) {
        this.fleet = fleet;
        this.address = address;
        this.clockOffsetMillis = random.nextLong(1_000_000);
        this.clockRate = clockRate;
        this.system = new LimitSystem(this, settings, () -> ++calls, random);
    }

    LimitSystem system() {
        return system;
    }

    long localMillis(long nowMillis) {
        return clockOffsetMillis + Math.round(nowMillis * clockRate);
    }

    boolean isRunning(long nowMillis) {
        return nowMillis >= pausedUntilMillis && nowMillis < endedMillis;
    }

    boolean hasEnded(long nowMillis) {
        return nowMillis >= endedMillis;
    }

    void pause(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    void end(long nowMillis) {
        endedMillis = nowMillis;
    }

    long resumeMillis() {
        return pausedUntilMillis;
    }

    long endMillis() {
        return endedMillis;
    }

    void configure(Configuration configuration, long nowMillis) {
        system.configure(configuration, localMillis(nowMillis), fleet.outbox(this));
    }

    @Override
    public VmAddress self() {
        return address;
    }

    @Override
    public long version() {
        return fleet.viewVersion();
    }

    @Override
    public List<VmAddress> live(CellId cell) {
        return fleet.members(cell);
    }

    @Override
    public List<VmAddress> candidates(CellId cell) {
        return fleet.members(cell);
    }

    @Override
    public boolean isSuspected(VmAddress vm) {
        return fleet.isSuspected(vm);
    }

    @Override
    public boolean isConfirmedGone(VmId vm, long incarnation) {
        return fleet.isConfirmedGone(vm, incarnation);
    }
}
