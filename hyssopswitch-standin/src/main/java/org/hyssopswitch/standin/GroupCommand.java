package org.hyssopswitch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.standin.control.ControlServer;
import org.hyssopswitch.standin.control.ControlServers;
import org.hyssopswitch.standin.group.Credential;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.EndpointAddress;
import org.hyssopswitch.standin.group.GroupSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a database group. */
@Command(name = "group", mixinStandardHelpOptions = true, description = "Runs a database group.")
final class GroupCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = YamlDefaults.SETTINGS, paramLabel = "FILE", description = "YAML file with keys as the options")
    @SuppressWarnings("UnusedVariable") // read by YamlDefaults before the command line is parsed
    private String settings;

    @Option(names = "--database", defaultValue = "orders", description = "name of the database")
    private String database;

    @Option(names = "--endpoints", defaultValue = "3", description = "number of endpoints")
    private int endpoints;

    @Option(names = "--ports", split = ",", description = "ports of the endpoints; ephemeral unless given")
    private List<Integer> ports = new ArrayList<>();

    @Option(names = "--control-port", defaultValue = "0", description = "port of the control listener")
    private int controlPort;

    @Option(names = "--writer", defaultValue = "hyssop_writer", description = "user that may write")
    private String writer;

    @Option(names = "--writer-password", defaultValue = "writer-password", description = "password of the writer")
    private String writerPassword;

    @Option(names = "--reader", defaultValue = "hyssop_reader", description = "user whose writes are refused")
    private String reader;

    @Option(names = "--reader-password", defaultValue = "reader-password", description = "password of the reader")
    private String readerPassword;

    @Option(names = "--slots", defaultValue = "3", description = "statements that an endpoint runs at a time")
    private int slots;

    @Option(names = "--connections", defaultValue = "34", description = "connections that an endpoint accepts")
    private int connections;

    @Option(names = "--connection-cost-millis", defaultValue = "27", description = "time to open a connection")
    private long connectionCostMillis;

    @Option(names = "--lag-millis", defaultValue = "1", description = "replication lag")
    private long lagMillis;

    @Option(names = "--service-micros", defaultValue = "200", description = "time that a statement takes")
    private long serviceMicros;

    @Override
    public Integer call() {
        try (RunningStandin running = start()) {
            spec.commandLine().getOut().println(running.line());
            spec.commandLine().getOut().flush();
            return running.awaitTermination();
        }
    }

    RunningStandin start() {
        DatabaseGroupServer group = new DatabaseGroupServer(groupSettings());
        group.start();
        ControlServer control = ControlServers.of(group, controlPort);
        control.start();
        StringBuilder line = new StringBuilder("event=ready database=" + database + " control=" + control.port());
        group.endpoints().forEach(e -> line.append(" ").append(e).append("=").append(group.port(e)));
        return new RunningStandin(line.toString(), () -> {
            control.close();
            group.close();
        });
    }

    private GroupSettings groupSettings() {
        if (!ports.isEmpty() && ports.size() != endpoints) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--ports must name " + endpoints + " ports, but names " + ports);
        }
        try {
            List<EndpointAddress> addresses = new ArrayList<>();
            for (int i = 0; i < endpoints; i++) {
                EndpointId id = new EndpointId(database + "-" + (i + 1));
                addresses.add(new EndpointAddress(id, ports.isEmpty() ? 0 : ports.get(i)));
            }
            return new GroupSettings(
                    new DatabaseId(database),
                    addresses,
                    new Credential(writer, writerPassword),
                    new Credential(reader, readerPassword),
                    slots,
                    connections,
                    connectionCostMillis,
                    lagMillis,
                    serviceMicros);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }
}
