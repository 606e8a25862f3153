package org.hyssopswitch.settings.binding;

import java.util.List;
import java.util.stream.Collectors;
import org.hyssopswitch.core.failure.Failure;

/**
 * All mistakes of one or several files.
 *
 * @param mistakes the mistakes; at least one
 */
public record SettingsFailure(List<SettingsMistake> mistakes) implements Failure {

    /** Copies the list. */
    public SettingsFailure {
        mistakes = List.copyOf(mistakes);
    }

    @Override
    public String describe() {
        return mistakes.stream().map(SettingsMistake::describe).collect(Collectors.joining("; "));
    }
}
