package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.regex.Pattern;
import org.hyssopswitch.wire.BodyReader;

/**
 * Session settings that drivers make on every new connection and that change no answer: they are confirmed here
 * instead of at an endpoint, whose connections sessions share.
 */
final class LocalSettings {

    private static final Pattern HARMLESS = Pattern.compile(
            "\\s*SET\\s+(SESSION\\s+)?(extra_float_digits|application_name)\\s*(=|\\s+TO\\s)\\s*('[^']*'|\\w+)\\s*;?\\s*",
            Pattern.CASE_INSENSITIVE);

    private LocalSettings() {}

    /** Tells whether a cycle only makes such a setting. */
    static boolean matches(CyclePart part) {
        return part.simple()
                && Option.of(new BodyReader(part.frames().get(0).body()).readString())
                        .exists(sql -> HARMLESS.matcher(sql).matches());
    }
}
