package org.hyssopswitch.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;

/** The state of one slot of the local data centre as known to this VM. */
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

    /** Returns the record as last read or written; empty before the first read. */
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

    /** Returns the configuration version up to which all splits may be lent in full. */
    long grownVersion() {
        return grownVersion;
    }

    /**
     * Returns the time since which the splits of the grown version may be lent in full and no share of a former owner
     * is in use.
     */
    long grownSinceMillis() {
        return Math.max(grownMillis, adoptUntilMillis);
    }

    /** Returns the configuration version up to which growth is requested. */
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

    /** Returns the configuration version for which the record should be settled. */
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

    /** Requires the record to be read before the next update, for example after an update without an answer. */
    void requireRead() {
        readRequired = true;
    }

    /** Whether the record must be read before it is updated. */
    boolean needsRead() {
        return readRequired || record.isEmpty();
    }

    /**
     * Applies a record that was read or written. An update that took effect although its answer was lost is read back
     * as the proposed record.
     */
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

    /**
     * Advances the grown version over a configuration change that left the data centres of this slot's accounts
     * unchanged.
     */
    void carryGrownVersion(long from, long to) {
        if (owned && grownVersion >= from) {
            grownVersion = to;
        }
    }
}
