package org.hyssopswitch.standin.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.EndpointStatistics;
import org.hyssopswitch.standin.group.GroupFaults;
import org.hyssopswitch.standin.platform.PlatformFaults;
import org.hyssopswitch.standin.platform.PlatformServer;
import org.hyssopswitch.standin.platform.PlatformStatistics;

/** Creates the control listeners of the stand-ins. */
public final class ControlServers {

    private static final String ENDPOINT = "endpoint";
    private static final String CLIENT = "client";
    private static final String MILLIS = "millis";
    private static final Map<String, Boolean> DONE = Map.of("done", true);

    private ControlServers() {}

    /**
     * Creates the listener of a group.
     *
     * @param group the group
     * @param port TCP port; 0 for an ephemeral one
     */
    public static ControlServer of(DatabaseGroupServer group, int port) {
        GroupFaults faults = group.faults();
        Map<String, ControlOperation> operations = new HashMap<>();
        operations.put("GET /status", p -> status(group));
        post(operations, "partition", p -> faults.partition(p.sets()));
        post(operations, "heal", p -> heal(faults));
        post(operations, "cut", p -> faults.cutClients(p.endpoint(), p.text(CLIENT)));
        post(operations, "freeze", p -> faults.freeze(p.endpoint()));
        post(operations, "resume", p -> faults.resume(p.endpoint()));
        post(operations, "crash", p -> faults.crash(p.endpoint()));
        post(operations, "restart", p -> faults.restart(p.endpoint()));
        post(operations, "lag", p -> faults.setLagMillis(p.endpoint(), p.number(MILLIS)));
        post(operations, "slow", p -> faults.setSlowMillis(p.endpoint(), p.number(MILLIS)));
        post(operations, "service", p -> faults.setServiceMicros(p.endpoint(), p.number("micros")));
        post(
                operations,
                "repeat",
                p -> faults.repeatAnswers(p.endpoint(), Math.toIntExact(p.number("count")), p.number(MILLIS)));
        return new ControlServer(port, operations);
    }

    /**
     * Creates the listener of a platform.
     *
     * @param platform the platform
     * @param port TCP port; 0 for an ephemeral one
     */
    public static ControlServer of(PlatformServer platform, int port) {
        PlatformFaults faults = platform.faults();
        Map<String, ControlOperation> operations = new HashMap<>();
        operations.put("GET /status", p -> status(platform.statistics()));
        post(operations, "outage", p -> faults.setOutage(PlatformFaults.Outage.valueOf(p.text("value"))));
        post(operations, "slow", p -> faults.setSlowMillis(p.number(MILLIS)));
        post(operations, "lose", p -> faults.loseAnswers(Math.toIntExact(p.number("count"))));
        post(operations, "throttle", p -> faults.setCallsPerSecond(Math.toIntExact(p.number("calls"))));
        post(operations, "cut", p -> faults.cut(p.text(CLIENT)));
        post(operations, "heal", p -> faults.heal());
        post(operations, "leave", p -> platform.leave(new VmId(p.text("vm"))));
        post(operations, "remove", p -> platform.remove(new VmId(p.text("vm"))));
        return new ControlServer(port, operations);
    }

    private static void post(
            Map<String, ControlOperation> operations, String name, Consumer<ControlParameters> effect) {
        operations.put("POST /" + name, p -> {
            effect.accept(p);
            return DONE;
        });
    }

    private static void heal(GroupFaults faults) {
        faults.partition(List.of());
        faults.healClients();
    }

    private static List<Map<String, Object>> status(DatabaseGroupServer group) {
        return group.endpoints().stream().map(e -> status(group, e)).toList();
    }

    private static Map<String, Object> status(DatabaseGroupServer group, EndpointId endpoint) {
        EndpointStatus status = group.status(endpoint);
        EndpointStatistics statistics = group.statistics(endpoint);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ENDPOINT, endpoint.value());
        fields.put("port", group.port(endpoint));
        fields.put("role", status.role().name());
        fields.put("acceptedTerm", status.acceptedTerm());
        fields.put("applied", status.applied().toString());
        fields.put("clients", statistics.clients());
        fields.put("peakConnections", statistics.peakConnections());
        fields.put("refusedOverCap", statistics.refusedOverCap());
        fields.put("statements", statistics.statements());
        return fields;
    }

    private static Map<String, Object> status(PlatformStatistics statistics) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("calls", statistics.calls());
        fields.put("throttled", statistics.throttled());
        fields.put("waiting", statistics.waiting());
        return fields;
    }
}
