package org.hyssopswitch.settings.binding;

import java.nio.charset.StandardCharsets;

/**
 * A secret, written in the settings as a string or as {@code {file: PATH}}. It is not shown in text form.
 *
 * @param value the secret
 */
public record Secret(String value) {

    /** The secret in UTF-8. */
    public byte[] bytes() {
        return value.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "Secret[hidden]";
    }
}
