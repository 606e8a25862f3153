package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.failure.Failure;

/** The failure of a call to the platform. */
public sealed interface PlatformFailure extends Failure {

    /**
     * The object does not have the expected version; the update had no effect.
     *
     * @param path path of the object
     * @param currentVersion version that the object has
     */
    record VersionConflict(String path, long currentVersion) implements PlatformFailure {
        @Override
        public String describe() {
            return "object " + path + " has version " + currentVersion;
        }
    }

    /**
     * The platform refused the call without running it, for example because its rate limit is exceeded.
     *
     * @param path path of the object
     * @param retryAfterMillis delay before the next attempt, in milliseconds
     */
    record Throttled(String path, long retryAfterMillis) implements PlatformFailure {
        @Override
        public String describe() {
            return "the platform refused the call for " + path + "; retry after " + retryAfterMillis + " ms";
        }
    }

    /**
     * No response arrived; an update may nevertheless have taken effect.
     *
     * @param path path of the object
     * @param reason the cause, for the log
     */
    record NoAnswer(String path, String reason) implements PlatformFailure {
        @Override
        public String describe() {
            return "no answer from the platform for " + path + ": " + reason;
        }
    }

    /**
     * The credential does not permit the call.
     *
     * @param path path of the object
     */
    record Forbidden(String path) implements PlatformFailure {
        @Override
        public String describe() {
            return "the credential does not permit access to " + path;
        }
    }
}
