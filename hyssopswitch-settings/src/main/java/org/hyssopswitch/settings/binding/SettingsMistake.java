package org.hyssopswitch.settings.binding;

import org.hyssopswitch.core.failure.Failure;

/**
 * One mistake in a file of settings or declarations.
 *
 * @param file name of the file
 * @param path path of the field, such as {@code listeners.peer.port}; empty for the whole file
 * @param value the value found, shortened; empty when there is none or it is secret
 * @param reason what must hold
 */
public record SettingsMistake(String file, String path, String value, String reason) implements Failure {

    @Override
    public String describe() {
        String field = path.isEmpty() ? "" : " field '" + path + "'";
        String found = value.isEmpty() ? "" : " (found '" + value + "')";
        return file + ":" + field + " " + reason + found;
    }
}
