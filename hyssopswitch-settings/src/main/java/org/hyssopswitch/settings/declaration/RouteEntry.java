package org.hyssopswitch.settings.declaration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.settings.binding.DefaultValue;

/** A route as declared in a file. */
record RouteEntry(
        RouteId id,
        DatabaseId database,
        @DefaultValue("false") boolean read,
        @DefaultValue("0") @Min(0) @Max(86_400_000) long maxAgeMillis,
        @DefaultValue("false") boolean repeatable,
        @DefaultValue("false") boolean open) {

    /** Checks what the declaration checks, and that the name is free. */
    RouteEntry {
        if (id.equals(RouteDeclaration.UNDECLARED)) {
            throw new IllegalArgumentException("the name '" + id + "' is reserved");
        }
        if (!read && maxAgeMillis > 0) {
            throw new IllegalArgumentException("maxAgeMillis of route " + id + " needs read: true");
        }
        declaration(id, database, read, maxAgeMillis, repeatable, open);
    }

    static RouteEntry of(RouteDeclaration route) {
        return new RouteEntry(
                route.id(), route.database(), route.read(), route.maxAgeMillis(), route.repeatable(), route.open());
    }

    RouteDeclaration toDeclaration() {
        return declaration(id, database, read, maxAgeMillis, repeatable, open);
    }

    private static RouteDeclaration declaration(
            RouteId id, DatabaseId database, boolean read, long maxAgeMillis, boolean repeatable, boolean open) {
        return new RouteDeclaration(id, database, read, maxAgeMillis, repeatable, open);
    }
}
