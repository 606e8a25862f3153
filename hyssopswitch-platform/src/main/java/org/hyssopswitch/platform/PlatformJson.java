package org.hyssopswitch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * Reads and writes the JSON of the platform's API; anything unexpected is an {@link IOException}, except an entry in a
 * list of VMs, which is left out.
 */
final class PlatformJson {

    private static final Logger LOG = LogManager.getLogger(PlatformJson.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    static StoredObject object(byte[] body) throws IOException {
        return object(MAPPER.readTree(body));
    }

    static PrefixChanges changes(byte[] body) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode node : array(root, "objects")) {
            objects.add(object(node));
        }
        return new PrefixChanges(number(root, "version"), objects);
    }

    static PlatformClient.VmList vms(byte[] body) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        return new PlatformClient.VmList(addresses(root, "live"), addresses(root, "leaving"));
    }

    static VmAddress address(byte[] body) throws IOException {
        return address(MAPPER.readTree(body));
    }

    static long version(byte[] body) throws IOException {
        return number(MAPPER.readTree(body), "version");
    }

    static byte[] write(VmAddress vm) throws IOException {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("vm", vm.vm().value());
        node.put("incarnation", vm.incarnation());
        node.put("dataCentre", vm.dataCentre().value());
        node.put("cell", vm.cell().value());
        node.put("host", vm.host());
        node.put("port", vm.port());
        return MAPPER.writeValueAsBytes(node);
    }

    private static StoredObject object(JsonNode node) throws IOException {
        return new StoredObject(
                text(node, "path"),
                number(node, "version"),
                field(node, "value").binaryValue());
    }

    /** Decodes a list of VMs; an entry that names no VM must not hide the others. */
    private static List<VmAddress> addresses(JsonNode root, String name) throws IOException {
        List<VmAddress> result = new ArrayList<>();
        for (JsonNode node : array(root, name)) {
            try {
                result.add(address(node));
            } catch (IOException e) {
                LOG.warn("event=vm_entry_unusable list={} cause=\"{}\"", name, e.getMessage());
            }
        }
        return result;
    }

    private static VmAddress address(JsonNode node) throws IOException {
        try {
            return new VmAddress(
                    new VmId(text(node, "vm")),
                    number(node, "incarnation"),
                    new DataCentreId(text(node, "dataCentre")),
                    new CellId(text(node, "cell")),
                    text(node, "host"),
                    Math.toIntExact(number(node, "port")));
        } catch (ArithmeticException | IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static JsonNode array(JsonNode node, String name) throws IOException {
        JsonNode value = field(node, name);
        if (!value.isArray()) {
            throw new IOException("field '" + name + "' is not a list");
        }
        return value;
    }

    private static String text(JsonNode node, String name) throws IOException {
        JsonNode value = field(node, name);
        if (!value.isTextual()) {
            throw new IOException("field '" + name + "' is not a string");
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String name) throws IOException {
        JsonNode value = field(node, name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IOException("field '" + name + "' is not an integer");
        }
        return value.longValue();
    }

    private static JsonNode field(JsonNode node, String name) throws IOException {
        if (node == null || !node.hasNonNull(name)) {
            throw new IOException("field '" + name + "' is missing");
        }
        return node.get(name);
    }
}
