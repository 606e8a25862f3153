package org.hyssopswitch.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;

/** What this VM knows of one slot of its data centre. */
final class SlotState {

    private final int slot;
    private final Map<DataCentreId, SlotRecord> otherRecords = new HashMap<>();
    private Optional<SlotRecord> record = Optional.empty();
    private Optional<SlotRecord> proposed = Optional.empty();
    private long objectVersion;
    private long readMillis;
    private boolean owned;
    private long adoptUntilMillis;
    private long grownVersion;
    private long grownMillis;
    private long wantedVersion;
    private long settleVersion;
    private long nextAttemptMillis;
    private int failures;
    private int pendingCalls;
    private boolean readRequired;

    SlotState(int slot) {
        this.slot = slot;
    }

    int slot() {
        return slot;
    }

    /** The record as last read or written; empty before the first read. */
    Optional<SlotRecord> record() {
        return record;
    }

    long objectVersion() {
        return objectVersion;
    }

    long readMillis() {
        return readMillis;
    }

    boolean isOwned() {
        return owned;
    }

    long adoptUntilMillis() {
        return adoptUntilMillis;
    }

    /** Configuration version up to which all splits may be lent in full. */
    long grownVersion() {
        return grownVersion;
    }

    /** Time since which the splits of the grown version may be lent in full. */
    long grownSinceMillis() {
        return Math.max(grownMillis, adoptUntilMillis);
    }

    /** Configuration version up to which growth is wanted. */
    long wantedVersion() {
        return wantedVersion;
    }

    void requestGrowth(long version) {
        if (version > wantedVersion) {
            wantedVersion = version;
            settleVersion = Math.max(settleVersion, version);
            nextAttemptMillis = Math.min(nextAttemptMillis, readMillis);
        }
    }

    /** Configuration version that the record should be settled for. */
    long settleVersion() {
        return settleVersion;
    }

    void requestSettlement(long version) {
        settleVersion = Math.max(settleVersion, version);
    }

    Map<DataCentreId, SlotRecord> otherRecords() {
        return otherRecords;
    }

    boolean isDue(long nowMillis) {
        return pendingCalls == 0 && nowMillis >= nextAttemptMillis;
    }

    void callStarted() {
        pendingCalls++;
    }

    void callAnswered() {
        pendingCalls--;
    }

    boolean hasPendingCalls() {
        return pendingCalls > 0;
    }

    void delayUntil(long untilMillis) {
        nextAttemptMillis = untilMillis;
    }

    int countFailure() {
        failures++;
        return failures;
    }

    void resetFailures() {
        failures = 0;
    }

    void propose(SlotRecord next) {
        proposed = Optional.of(next);
    }

    /** Requires the record to be read again, for example after an update without an answer. */
    void requireRead() {
        readRequired = true;
    }

    /** Whether the record must be read before it is updated. */
    boolean needsRead() {
        return readRequired || record.isEmpty();
    }

    /** Takes a record that was read or written; an update whose answer was lost shows as the proposed record. */
    void applyRecord(SlotRecord next, long version, VmAddress self, long previousLeasesEndMillis, long nowMillis) {
        boolean ownedBySelf = next.owner().filter(self::equals).isPresent();
        if (ownedBySelf && !owned) {
            owned = true;
            adoptUntilMillis = next.epoch() == 1 ? nowMillis : previousLeasesEndMillis;
        }
        owned = ownedBySelf;
        if (ownedBySelf && next.grownVersion() > grownVersion) {
            grownVersion = next.grownVersion();
            grownMillis = nowMillis;
        }
        record = Optional.of(next);
        objectVersion = version;
        readMillis = nowMillis;
        readRequired = false;
        proposed = Optional.empty();
    }

    Optional<SlotRecord> proposed() {
        return proposed;
    }

    void release() {
        owned = false;
    }

    /** Advances the grown version over a configuration change that moved no account of this slot. */
    void carryGrownVersion(long from, long to) {
        if (owned && grownVersion >= from) {
            grownVersion = to;
        }
    }
}
