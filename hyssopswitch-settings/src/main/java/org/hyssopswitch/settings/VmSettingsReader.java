package org.hyssopswitch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.settings.binding.MistakeCollector;
import org.hyssopswitch.settings.binding.RecordBinder;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.binding.TreeParser;

/** Reads the settings of a VM; all mistakes are reported at once. */
public final class VmSettingsReader {

    private static final int MIN_SECRET_BYTES = 16;

    private final TreeParser parser = new TreeParser();

    /**
     * Reads a file.
     *
     * @param file YAML file
     */
    public Either<SettingsFailure, VmSettings> read(Path file) {
        MistakeCollector mistakes = new MistakeCollector(file.toString());
        Optional<JsonNode> tree = parser.yamlFile(file, mistakes);
        Optional<VmSettings> settings = tree.flatMap(t -> new RecordBinder(mistakes).bind(VmSettings.class, t, ""));
        settings.ifPresent(s -> check(s, mistakes));
        return settings.isPresent() && mistakes.isEmpty()
                ? Either.right(settings.get())
                : Either.left(new SettingsFailure(mistakes.mistakes()));
    }

    private static void check(VmSettings settings, MistakeCollector mistakes) {
        if (settings.fleetSecret().bytes().length < MIN_SECRET_BYTES) {
            mistakes.add("fleetSecret", "", "must have at least " + MIN_SECRET_BYTES + " bytes");
        }
        if (settings.platform().credential().value().isEmpty()) {
            mistakes.add("platform.credential", "", "must not be empty");
        }
        String peerHost = settings.listeners().peer().host();
        if ("0.0.0.0".equals(peerHost) || "::".equals(peerHost)) {
            mistakes.add("listeners.peer.host", peerHost, "must be the address at which other VMs reach this one");
        }
        checkAddresses(settings, mistakes);
    }

    private static void checkAddresses(VmSettings settings, MistakeCollector mistakes) {
        Map<String, String> fields = new LinkedHashMap<>();
        URI url = settings.platform().url();
        int urlPort = url.getPort() != -1 ? url.getPort() : "https".equals(url.getScheme()) ? 443 : 80;
        fields.put(url.getHost() + ":" + urlPort, "platform.url");
        VmSettings.Listeners listeners = settings.listeners();
        checkAddress("listeners.caller", listeners.caller(), fields, mistakes);
        checkAddress("listeners.peer", listeners.peer(), fields, mistakes);
        checkAddress("listeners.operations", listeners.operations(), fields, mistakes);
    }

    private static void checkAddress(
            String field, ListenerSettings listener, Map<String, String> fields, MistakeCollector mistakes) {
        if (listener.port() == 0) {
            return;
        }
        String address = listener.host() + ":" + listener.port();
        String other = fields.putIfAbsent(address, field);
        if (other != null) {
            mistakes.add(field, address, "must differ from the address of " + other);
        }
    }
}
