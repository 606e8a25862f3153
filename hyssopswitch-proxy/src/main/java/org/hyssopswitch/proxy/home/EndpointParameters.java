package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.hyssopswitch.core.position.LogPosition;

/** Parameters that endpoints report to homes. */
final class EndpointParameters {

    /** Prefix of the parameters that callers do not see. */
    static final String PREFIX = "hyssop.";

    /** Last position applied. */
    static final String APPLIED = "hyssop.applied";

    /** Position of a committed write. */
    static final String COMMIT = "hyssop.commit";

    private EndpointParameters() {}

    /** Reads {@code term/offset}. */
    static Option<LogPosition> position(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            return Option.none();
        }
        return Try.of(() -> new LogPosition(
                        Long.parseLong(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1))))
                .toOption();
    }
}
