package org.hyssopswitch.standin.control;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;

/** Parameters of a control call; a missing or malformed one is a {@link HyssopException} that names it. */
final class ControlParameters {

    private final UnaryOperator<String> source;

    /**
     * Creates parameters.
     *
     * @param source gives the value of a name, null when it is missing
     */
    ControlParameters(UnaryOperator<String> source) {
        this.source = source;
    }

    String text(String name) {
        return Optional.ofNullable(source.apply(name))
                .orElseThrow(() -> new HyssopException("parameter " + name + " is missing"));
    }

    long number(String name) {
        String text = text(name);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new HyssopException("parameter " + name + " must be a whole number, but is " + text, e);
        }
    }

    EndpointId endpoint() {
        return new EndpointId(text("endpoint"));
    }

    /** Sets of endpoints, written as {@code a,b;c}; empty for none. */
    List<Set<EndpointId>> sets() {
        return Arrays.stream(text("sets").split(";"))
                .filter(s -> !s.isBlank())
                .map(s -> Arrays.stream(s.split(",")).map(EndpointId::new).collect(Collectors.toSet()))
                .toList();
    }
}
