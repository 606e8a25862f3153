package org.hyssopswitch.core.failover;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * The content of the platform object that keeps orderers of one group from getting in each other's way.
 *
 * <p>The lease only saves attempts; safety rests on the endpoints, which accept a term from one coordinator.
 *
 * @param coordinator who orders the promotion
 * @param term the term it orders
 */
record FailoverLease(String coordinator, long term) {

    private static final Pattern FORM = Pattern.compile("v1 (\\S{1,200}) (\\d{1,18})");

    static String path(DatabaseId database) {
        return "failover/" + database;
    }

    byte[] encode() {
        return ("v1 " + coordinator + " " + term).getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a lease; an object that holds none, or something unreadable, gives nothing. */
    static Optional<FailoverLease> decode(byte[] value) {
        Matcher matcher = FORM.matcher(new String(value, StandardCharsets.UTF_8));
        return matcher.matches()
                ? Optional.of(new FailoverLease(matcher.group(1), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }
}
