package org.hyssopswitch.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** The VMs and declared databases of a fleet. */
public final class FleetDeclarations {

    private static final int ENDPOINTS = 3;
    private static final int SLOTS = 3;
    private static final int CONNECTIONS = 34;
    private static final double RATE_PER_SECOND = 100;
    private static final double BURST = 50;
    private static final int HOSTS = 250;
    private static final int FIRST_PORT = 5_432;
    private static final int KEY_ITERATIONS = 4_096;

    private FleetDeclarations() {}

    /**
     * The addresses of all VMs.
     *
     * @param shape the size
     */
    public static List<VmAddress> vms(FleetShape shape) {
        List<VmAddress> vms = new ArrayList<>();
        for (int i = 0; i < shape.vms(); i++) {
            int cell = i / shape.vmsPerCell();
            int dataCentre = cell / shape.cells();
            vms.add(new VmAddress(
                    new VmId("vm-" + i),
                    1_790_000_000_000L + i,
                    dataCentre(dataCentre),
                    cell(cell),
                    "10.1.2.3",
                    7_000));
        }
        return vms;
    }

    /**
     * The team of a database.
     *
     * @param index number of the database
     */
    public static TeamId team(int index) {
        return new TeamId("team-" + index);
    }

    /**
     * The database of a number.
     *
     * @param index number of the database
     */
    public static DatabaseId database(int index) {
        return new DatabaseId(team(index) + ".database");
    }

    /**
     * An endpoint of a database; the first is the primary at the start.
     *
     * @param index number of the database
     * @param endpoint number of the endpoint within the group
     */
    public static EndpointId endpoint(int index, int endpoint) {
        return new EndpointId(team(index) + ".endpoint-" + endpoint);
    }

    /**
     * A client account of a database.
     *
     * @param index number of the database
     * @param account number of the client account within the database
     */
    public static ClientAccountId account(int index, int account) {
        return new ClientAccountId(team(index) + ".account-" + account);
    }

    /**
     * The subtree that declares one database with its client accounts and routes.
     *
     * @param shape the size
     * @param index number of the database
     * @param revision number of the change; each changes the rate of the first client account
     */
    public static TeamConfiguration subtree(FleetShape shape, int index, long revision) {
        DatabaseId id = database(index);
        List<EndpointDeclaration> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            int cell = (index * ENDPOINTS + i) % (shape.dataCentres() * shape.cells());
            endpoints.add(new EndpointDeclaration(
                    endpoint(index, i),
                    dataCentre(cell / shape.cells()),
                    cell(cell),
                    "10.4." + index / HOSTS + "." + index % HOSTS,
                    FIRST_PORT + i,
                    false));
        }
        List<AccountDeclaration> accounts = new ArrayList<>();
        for (int i = 0; i < shape.accountsPerDatabase(); i++) {
            accounts.add(new AccountDeclaration(
                    account(index, i),
                    new Rate(RATE_PER_SECOND + (i == 0 ? revision : 0), BURST),
                    List.of(id),
                    List.of(key(i))));
        }
        return new TeamConfiguration(
                team(index),
                1,
                List.of(new DatabaseDeclaration(id, endpoints, SLOTS, CONNECTIONS)),
                accounts,
                List.of(route(index)));
    }

    /**
     * The route of a database that is served by replicas.
     *
     * @param index number of the database
     */
    public static RouteDeclaration route(int index) {
        return new RouteDeclaration(new RouteId("status"), database(index), true, 5_000, true, false);
    }

    private static KeyVerifier key(int index) {
        return new KeyVerifier(
                new KeyId("key-" + index),
                "c2FsdHNhbHRzYWx0c2FsdA==",
                KEY_ITERATIONS,
                "WG5dRaVSzvC7Ddg0q5UrMBo0ZnRgVuvmH3xP3vFmIzk=",
                "SVVvWG5dRaVSzvC7Ddg0q5UrMBo0ZnRgVuvmH3xP3vE=");
    }

    private static DataCentreId dataCentre(int index) {
        return new DataCentreId("dc-" + index);
    }

    private static CellId cell(int index) {
        return new CellId("cell-" + index);
    }
}
