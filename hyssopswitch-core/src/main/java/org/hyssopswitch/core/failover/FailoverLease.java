package org.hyssopswitch.core.failover;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * Content of the platform object by which promotion coordinators avoid concurrent promotions of one group.
 *
 * <p>The lease only avoids competing attempts. Safety does not depend on it, because an endpoint accepts a term from
 * one coordinator only.
 *
 * @param coordinator the VM and incarnation that coordinate the promotion
 * @param term the term of the promotion
 */
record FailoverLease(String coordinator, long term) {

    private static final Pattern FORM = Pattern.compile("v1 (\\S{1,200}) (\\d{1,18})");

    static String path(DatabaseId database) {
        return "failover/" + database;
    }

    byte[] encode() {
        return ("v1 " + coordinator + " " + term).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a lease; returns empty if the object holds none or cannot be decoded. */
    static Optional<FailoverLease> decode(byte[] value) {
        Matcher matcher = FORM.matcher(new String(value, StandardCharsets.UTF_8));
        return matcher.matches()
                ? Optional.of(new FailoverLease(matcher.group(1), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }
}
