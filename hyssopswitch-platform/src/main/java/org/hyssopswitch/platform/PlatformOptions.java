package org.hyssopswitch.platform;

import java.net.URI;
import org.hyssopswitch.core.failure.HyssopException;

/**
 * How to reach the platform.
 *
 * @param url base URL, such as {@code http://10.0.0.1:8080}
 * @param credential bearer credential
 * @param callTimeoutMillis milliseconds that a call may take beyond the wait it asked for
 * @param maxAnswerBytes greatest length of an answer
 */
public record PlatformOptions(URI url, String credential, long callTimeoutMillis, int maxAnswerBytes) {

    /** Checks the URL and the ranges. */
    public PlatformOptions {
        if (url.getHost() == null || !("http".equals(url.getScheme()) || "https".equals(url.getScheme()))) {
            throw new HyssopException("the platform's URL must be http or https with a host, but is '" + url + "'");
        }
        if (callTimeoutMillis < 1 || maxAnswerBytes < 1) {
            throw new HyssopException("timeout and greatest answer must be positive, but are " + callTimeoutMillis
                    + " and " + maxAnswerBytes);
        }
    }

    @Override
    public String toString() {
        return "PlatformOptions[url=" + url + ", callTimeoutMillis=" + callTimeoutMillis + "]";
    }
}
