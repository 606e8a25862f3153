package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** Finds the route of a cycle. */
final class CycleRoute {

    private CycleRoute() {}

    /**
     * Finds the route that all statements of a cycle share; statements that differ count as undeclared.
     *
     * @param frames the cycle
     * @param statements the statements of the session
     * @param fallback the route given at startup
     * @param configuration the configuration in force
     * @param database the database of the session
     */
    static Either<Refusal, RouteDeclaration> resolve(
            List<Frame> frames,
            PreparedStatements statements,
            Option<String> fallback,
            Configuration configuration,
            DatabaseId database) {
        Set<Option<String>> names = new HashSet<>();
        for (Frame frame : frames) {
            sql(frame, statements).forEach(s -> names.add(RouteNames.find(s).orElse(fallback)));
        }
        Option<String> name = names.size() == 1 ? names.iterator().next() : Option.none();
        if (names.isEmpty()) {
            name = fallback;
        }
        if (name.isEmpty()) {
            return Either.right(RouteDeclaration.undeclared(database));
        }
        return declared(name.get(), configuration, database);
    }

    private static Either<Refusal, RouteDeclaration> declared(
            String name, Configuration configuration, DatabaseId database) {
        return Try.of(() -> new RouteId(name))
                .toOption()
                .flatMap(id -> Option.ofOptional(configuration.route(database, id)))
                .toEither(() -> new Refusal.RouteUnknown(name));
    }

    /** The statement that a frame runs or prepares, if it names one. */
    static Option<String> sql(Frame frame, PreparedStatements statements) {
        if (frame.is('Q')) {
            return Option.some(new BodyReader(frame.body()).readString());
        }
        if (frame.is('P')) {
            return Option.some(PreparedStatements.sqlOf(frame));
        }
        return frame.is('B') ? CycleRewriter.statementOf(frame).flatMap(statements::sql) : Option.none();
    }
}
