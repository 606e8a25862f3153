package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.hyssopswitch.core.position.LogPosition;

/** Parameters that endpoints report to homes in ParameterStatus frames. */
final class EndpointParameters {

    /** Prefix of the parameters that are not forwarded to callers. */
    static final String PREFIX = "hyssop.";

    /** Last log position that the endpoint applied. */
    static final String APPLIED = "hyssop.applied";

    /** Log position of a committed write. */
    static final String COMMIT = "hyssop.commit";

    private EndpointParameters() {}

    /** Parses {@code term/offset}; returns nothing if the text has another form. */
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
