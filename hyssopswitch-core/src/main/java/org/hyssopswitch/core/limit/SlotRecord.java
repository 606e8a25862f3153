package org.hyssopswitch.core.limit;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * The platform's record of the owner of a slot.
 *
 * @param owner the owner; empty when the slot was released or never owned
 * @param epoch number that increases with every new owner; 0 when the slot was never owned
 * @param settledVersion configuration version whose splits the slot's outstanding shares do not exceed
 * @param grownVersion configuration version whose splits the slot may lend in full
 * @param dataCentres data centres that may have lent parts since the grown version
 */
record SlotRecord(
        Optional<VmAddress> owner, long epoch, long settledVersion, long grownVersion, Set<DataCentreId> dataCentres) {

    static final SlotRecord NEVER_OWNED = new SlotRecord(Optional.empty(), 0, 0, 0, Set.of());

    SlotRecord {
        dataCentres = Set.copyOf(dataCentres);
        if (epoch < 0 || settledVersion < 0 || grownVersion < 0) {
            throw new IllegalArgumentException("the numbers of a slot record must not be negative, but are " + epoch
                    + ", " + settledVersion + " and " + grownVersion);
        }
    }

    SlotRecord withOwner(Optional<VmAddress> next) {
        return new SlotRecord(next, next.isPresent() ? epoch + 1 : epoch, settledVersion, grownVersion, dataCentres);
    }

    /** Returns the record settled for a version, with the data centres that have parts under it added. */
    SlotRecord withSettledVersion(long version, Set<DataCentreId> configured) {
        Set<DataCentreId> all = new TreeSet<>(dataCentres);
        all.addAll(configured);
        return new SlotRecord(owner, epoch, version, grownVersion, all);
    }

    /**
     * Returns the record that may lend a version's parts in full. All other data centres must have settled for the
     * version.
     */
    SlotRecord withGrownVersion(long version, Set<DataCentreId> configured) {
        return new SlotRecord(owner, epoch, settledVersion, version, configured);
    }

    /** Encodes the record as lines of {@code key=value}. */
    byte[] encode() {
        StringBuilder text = new StringBuilder();
        text.append("epoch=").append(epoch).append('\n');
        text.append("settled=").append(settledVersion).append('\n');
        text.append("grown=").append(grownVersion).append('\n');
        text.append("datacentres=")
                .append(dataCentres.stream().map(DataCentreId::value).sorted().collect(Collectors.joining(",")))
                .append('\n');
        owner.ifPresent(o -> text.append("vm=")
                .append(o.vm())
                .append("\nincarnation=")
                .append(o.incarnation())
                .append("\ndatacentre=")
                .append(o.dataCentre())
                .append("\ncell=")
                .append(o.cell())
                .append("\nhost=")
                .append(o.host())
                .append("\nport=")
                .append(o.port())
                .append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record. The value of an object that does not exist is empty and decodes to {@link #NEVER_OWNED}. */
    static Either<Failure, SlotRecord> decode(String path, byte[] value) {
        if (value.length == 0) {
            return Either.right(NEVER_OWNED);
        }
        return Try.of(() -> parse(new String(value, StandardCharsets.UTF_8)))
                .toEither()
                .mapLeft(e -> new Malformed(path, String.valueOf(e.getMessage())));
    }

    private static SlotRecord parse(String text) {
        Map<String, String> fields = Arrays.stream(text.split("\n"))
                .map(line -> line.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
        return new SlotRecord(
                Optional.ofNullable(fields.get("vm")).map(vm -> parseOwner(vm, fields)),
                Long.parseLong(fields.get("epoch")),
                Long.parseLong(fields.get("settled")),
                Long.parseLong(fields.get("grown")),
                Arrays.stream(fields.get("datacentres").split(","))
                        .filter(name -> !name.isEmpty())
                        .map(DataCentreId::new)
                        .collect(Collectors.toSet()));
    }

    private static VmAddress parseOwner(String vm, Map<String, String> fields) {
        return new VmAddress(
                new VmId(vm),
                Long.parseLong(fields.get("incarnation")),
                new DataCentreId(fields.get("datacentre")),
                new CellId(fields.get("cell")),
                fields.get("host"),
                Integer.parseInt(fields.get("port")));
    }

    /**
     * The object's value is not a valid slot record.
     *
     * @param path path of the object
     * @param detail what is wrong with it
     */
    record Malformed(String path, String detail) implements Failure {
        @Override
        public String describe() {
            return "object " + path + " is not a valid slot record: " + detail;
        }
    }
}
