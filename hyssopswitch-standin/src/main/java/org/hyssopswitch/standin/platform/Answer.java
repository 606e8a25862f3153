package org.hyssopswitch.standin.platform;

import java.util.Map;

/** What a call is answered with. */
record Answer(int status, Map<String, String> headers, byte[] body) {

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int TOO_LARGE = 413;
    static final int THROTTLED = 429;
    static final int UNAVAILABLE = 503;

    static Answer of(int status, Object body) {
        return new Answer(status, Map.of(), StandinJson.write(body));
    }

    static Answer error(int status, String message) {
        return of(status, Map.of("error", message));
    }

    static Answer throttled(double retryAfterSeconds) {
        return new Answer(
                THROTTLED,
                Map.of("Retry-After", String.format(java.util.Locale.ROOT, "%.3f", retryAfterSeconds)),
                StandinJson.write(Map.of("error", "the rate of calls is exceeded")));
    }
}
