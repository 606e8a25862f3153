package org.hyssopswitch.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** JSON of the platform's API. */
final class StandinJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StandinJson() {}

    static byte[] write(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new HyssopException("an answer cannot be written as JSON", e);
        }
    }

    static Map<String, Object> address(VmAddress vm) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("vm", vm.vm().value());
        fields.put("incarnation", vm.incarnation());
        fields.put("dataCentre", vm.dataCentre().value());
        fields.put("cell", vm.cell().value());
        fields.put("host", vm.host());
        fields.put("port", vm.port());
        return fields;
    }

    static Map<String, Object> lists(VmRegistry.VmLists lists) {
        return Map.of("live", addresses(lists.live()), "leaving", addresses(lists.leaving()));
    }

    /** Reads an address; a failure holds what is wrong. */
    static Try<VmAddress> readAddress(byte[] body) {
        return Try.of(() -> {
            JsonNode node = MAPPER.readTree(body);
            return new VmAddress(
                    new VmId(node.path("vm").asText()),
                    node.path("incarnation").asLong(-1),
                    new DataCentreId(node.path("dataCentre").asText()),
                    new CellId(node.path("cell").asText()),
                    node.path("host").asText(),
                    node.path("port").asInt());
        });
    }

    private static List<Map<String, Object>> addresses(List<VmAddress> vms) {
        return vms.stream().map(StandinJson::address).toList();
    }
}
