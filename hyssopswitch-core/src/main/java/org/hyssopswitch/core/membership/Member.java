package org.hyssopswitch.core.membership;

/** A row of the member table. */
final class Member {

    private MemberUpdate fact;
    private long changedMillis;
    private int transmissions;
    private boolean listed;
    private long linkFailedUntilMillis = Long.MIN_VALUE;

    Member(MemberUpdate fact, long nowMillis, int transmissions) {
        this.fact = fact;
        this.changedMillis = nowMillis;
        this.transmissions = transmissions;
    }

    MemberUpdate latestUpdate() {
        return fact;
    }

    long stateChangedMillis() {
        return changedMillis;
    }

    int remainingTransmissions() {
        return transmissions;
    }

    boolean isListed() {
        return listed;
    }

    boolean isSuspected() {
        return fact.state() == MemberState.SUSPECT || linkFailedUntilMillis != Long.MIN_VALUE;
    }

    void applyUpdate(MemberUpdate next, long nowMillis, int sends) {
        if (next.state() != fact.state()) {
            changedMillis = nowMillis;
        }
        if (next.address().incarnation() != fact.address().incarnation()) {
            listed = false;
            linkFailedUntilMillis = Long.MIN_VALUE;
        }
        fact = next;
        transmissions = sends;
    }

    void countTransmission() {
        transmissions--;
    }

    void markListed() {
        listed = true;
    }

    void markLinkFailed(long untilMillis) {
        linkFailedUntilMillis = untilMillis;
    }

    boolean clearLinkFailure(long nowMillis) {
        if (linkFailedUntilMillis == Long.MIN_VALUE || nowMillis < linkFailedUntilMillis) {
            return false;
        }
        linkFailedUntilMillis = Long.MIN_VALUE;
        return true;
    }
}
