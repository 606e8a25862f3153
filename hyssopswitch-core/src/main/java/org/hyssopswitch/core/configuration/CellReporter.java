package org.hyssopswitch.core.configuration;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Writes the version that all VMs of a cell have in force to the platform's object {@code status/cells/<cell>}, so that
 * operators can wait for it. Only the first relay of a cell writes, and only when the report has changed.
 *
 * <p>The value is JSON: {@code {"cell","dataCentre","reporter","members","version","lagging":[{"vm","version"}]}},
 * where {@code version} is the lowest version among the live members.
 */
final class CellReporter {

    private static final String PATH_PREFIX = "status/cells/";
    private static final long MIN_REPORT_INTERVAL_MILLIS = 500;
    private static final long RETRY_DELAY_MILLIS = 5_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_LISTED_LAGGING = 20;

    private final VmAddress self;
    private final LongSupplier callNumbers;
    private final Map<VmAddress, Long> memberVersions = new HashMap<>();
    private byte[] lastWritten = new byte[0];
    private long objectVersion = -1;
    private long openCallNumber;
    private boolean callOpen;
    private long callSentMillis;
    private long notBeforeMillis;

    CellReporter(VmAddress self, LongSupplier callNumbers) {
        this.self = self;
        this.callNumbers = callNumbers;
    }

    /** Records the version that a member of the cell has in force. */
    void recordVersion(VmAddress member, long version) {
        if (member.cell().equals(self.cell())) {
            memberVersions.merge(member, version, Math::max);
        }
    }

    /** Writes the report when this VM is the first relay and the report differs from the one written last. */
    void tick(boolean isFirstRelay, long ownVersion, List<VmAddress> others, long nowMillis, Outbox out) {
        memberVersions.keySet().retainAll(others);
        if (!isFirstRelay) {
            objectVersion = -1;
            return;
        }
        boolean waiting = callOpen && nowMillis - callSentMillis < ANSWER_TIMEOUT_MILLIS;
        if (waiting || nowMillis < notBeforeMillis || ownVersion == 0) {
            return;
        }
        byte[] report = createReport(ownVersion, others);
        if (objectVersion >= 0 && Arrays.equals(report, lastWritten)) {
            return;
        }
        sendCall(report, nowMillis, out);
    }

    /** Handles the answer to the pending call; ignores other answers. */
    void handleAnswer(long call, Either<PlatformFailure, StoredObject> result, long nowMillis) {
        if (!callOpen || call != openCallNumber) {
            return;
        }
        callOpen = false;
        if (result.isRight()) {
            objectVersion = result.get().version();
            lastWritten = result.get().value();
        } else {
            // The update may have taken effect, so the object is read again before the next update.
            objectVersion = -1;
            notBeforeMillis = nowMillis + (isConflict(result.getLeft()) ? 0 : RETRY_DELAY_MILLIS);
        }
    }

    private void sendCall(byte[] report, long nowMillis, Outbox out) {
        callOpen = true;
        openCallNumber = callNumbers.getAsLong();
        callSentMillis = nowMillis;
        notBeforeMillis = nowMillis + MIN_REPORT_INTERVAL_MILLIS;
        String path = PATH_PREFIX + self.cell();
        out.add(
                objectVersion < 0
                        ? new Action.ReadObject(openCallNumber, path)
                        : new Action.UpdateObject(openCallNumber, path, objectVersion, report));
    }

    private byte[] createReport(long ownVersion, List<VmAddress> others) {
        long lowest = others.stream().mapToLong(this::versionOf).min().orElse(ownVersion);
        String lagging = others.stream()
                .filter(m -> versionOf(m) < ownVersion)
                .limit(MAX_LISTED_LAGGING)
                .map(m -> "{\"vm\":\"" + m.vm() + "\",\"version\":" + versionOf(m) + "}")
                .collect(Collectors.joining(","));
        String json = "{\"cell\":\"" + self.cell() + "\",\"dataCentre\":\"" + self.dataCentre() + "\",\"reporter\":\""
                + self.vm() + "\",\"members\":" + (others.size() + 1) + ",\"version\":"
                + Math.min(lowest, ownVersion) + ",\"lagging\":[" + lagging + "]}";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private long versionOf(VmAddress member) {
        return memberVersions.getOrDefault(member, 0L);
    }

    private static boolean isConflict(PlatformFailure failure) {
        return failure instanceof PlatformFailure.VersionConflict;
    }
}
