package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.failure.Failure;

/** Why a call to the platform failed. */
public sealed interface PlatformFailure extends Failure {

    /**
     * The object has another version than expected; the update took no effect.
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
     * The platform refused the call before running it, for example because its call rate is exceeded.
     *
     * @param path path of the object
     * @param retryAfterMillis milliseconds after which to try again
     */
    record Throttled(String path, long retryAfterMillis) implements PlatformFailure {
        @Override
        public String describe() {
            return "the platform refused the call for " + path + "; retry after " + retryAfterMillis + " ms";
        }
    }

    /**
     * No answer came; an update may have taken effect.
     *
     * @param path path of the object
     * @param reason what broke
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
