package org.hyssopswitch.settings.declaration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;
import java.util.Comparator;
import java.util.List;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.settings.binding.DefaultValue;

/** A database as declared in a file. */
record DatabaseEntry(
        DatabaseId id,
        @Min(1) @Max(10_000) int slots,
        @Min(2) @Max(100_000) int connections,
        List<EndpointEntry> endpoints) {

    /** Checks what the declaration checks. */
    DatabaseEntry {
        endpoints = List.copyOf(endpoints);
        declaration(id, slots, connections, endpoints);
    }

    static DatabaseEntry of(DatabaseDeclaration database) {
        return new DatabaseEntry(
                database.id(),
                database.slots(),
                database.connections(),
                database.endpoints().stream()
                        .map(EndpointEntry::of)
                        .sorted(Comparator.comparing(EndpointEntry::id))
                        .toList());
    }

    DatabaseDeclaration toDeclaration() {
        return declaration(id, slots, connections, endpoints);
    }

    private static DatabaseDeclaration declaration(
            DatabaseId id, int slots, int connections, List<EndpointEntry> endpoints) {
        return new DatabaseDeclaration(
                id, endpoints.stream().map(EndpointEntry::toDeclaration).toList(), slots, connections);
    }

    /** An endpoint as declared in a file. */
    record EndpointEntry(
            EndpointId id,
            DataCentreId dataCentre,
            CellId cell,
            @Pattern(regexp = ADDRESS, message = "must be an IP address") String host,
            @Min(1) @Max(65_535) int port,
            @DefaultValue("false") boolean leaving) {

        private static final String ADDRESS = "(\\d{1,3}\\.){3}\\d{1,3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*";

        static EndpointEntry of(EndpointDeclaration endpoint) {
            return new EndpointEntry(
                    endpoint.id(),
                    endpoint.dataCentre(),
                    endpoint.cell(),
                    endpoint.host(),
                    endpoint.port(),
                    endpoint.leaving());
        }

        EndpointDeclaration toDeclaration() {
            return new EndpointDeclaration(id, dataCentre, cell, host, port, leaving);
        }
    }
}
