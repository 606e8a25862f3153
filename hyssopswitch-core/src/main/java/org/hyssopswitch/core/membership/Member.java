package org.hyssopswitch.core.membership;

/** A row of the member table: the latest update about a member, and how often it is still to be sent with messages. */
final class Member {

    private MemberUpdate latestUpdate;
    private long stateChangedMillis;
    private int remainingTransmissions;
    private boolean listed;
    private long linkFailedUntilMillis = Long.MIN_VALUE;

    Member(MemberUpdate latestUpdate, long nowMillis, int remainingTransmissions) {
        this.latestUpdate = latestUpdate;
        this.stateChangedMillis = nowMillis;
        this.remainingTransmissions = remainingTransmissions;
    }

    MemberUpdate latestUpdate() {
        return latestUpdate;
    }

    long stateChangedMillis() {
        return stateChangedMillis;
    }

    int remainingTransmissions() {
        return remainingTransmissions;
    }

    boolean isListed() {
        return listed;
    }

    boolean isSuspected() {
        return latestUpdate.state() == MemberState.SUSPECT || linkFailedUntilMillis != Long.MIN_VALUE;
    }

    void applyUpdate(MemberUpdate next, long nowMillis, int newTransmissions) {
        if (next.state() != latestUpdate.state()) {
            stateChangedMillis = nowMillis;
        }
        if (next.address().incarnation() != latestUpdate.address().incarnation()) {
            listed = false;
            linkFailedUntilMillis = Long.MIN_VALUE;
        }
        latestUpdate = next;
        remainingTransmissions = newTransmissions;
    }

    void countTransmission() {
        remainingTransmissions--;
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
