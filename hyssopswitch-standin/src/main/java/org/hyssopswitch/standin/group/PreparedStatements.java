package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;
import org.hyssopswitch.standin.sql.SqlParser;
import org.hyssopswitch.standin.sql.Statement;
import org.hyssopswitch.wire.BodyReader;

/** Prepared statements and portals of one session. */
final class PreparedStatements {

    private final Map<String, Prepared> statements = new HashMap<>();
    private final Map<String, Portal> portals = new HashMap<>();

    void parse(BodyReader body) {
        String name = body.readString();
        String sql = body.readString();
        List<Integer> oids = new ArrayList<>();
        for (int count = body.readShort(); count > 0; count--) {
            oids.add(body.readInt());
        }
        List<Statement> parsed = SqlParser.parse(sql).getOrElseThrow(f -> new SqlException(f.error(), f.detail()));
        if (parsed.size() > 1) {
            throw new SqlException(SqlError.SYNTAX_ERROR, "cannot insert multiple commands into a prepared statement");
        }
        if (!name.isEmpty() && statements.containsKey(name)) {
            throw new SqlException(SqlError.PROTOCOL_VIOLATION, "prepared statement " + name + " already exists");
        }
        statements.put(name, new Prepared(parsed.get(0), List.copyOf(oids)));
    }

    void bind(BodyReader body) {
        String portal = body.readString();
        Prepared prepared = statement(body.readString());
        List<Integer> formats = shorts(body);
        List<String> values = new ArrayList<>();
        int count = body.readShort();
        for (int i = 0; i < count; i++) {
            int oid = i < prepared.oids().size() ? prepared.oids().get(i) : 0;
            int length = body.readInt();
            if (length < 0) {
                throw new SqlException(SqlError.NULL_VALUE, "parameter $" + (i + 1) + " must not be null");
            }
            values.add(ValueCodec.decode(body.readBytes(length), oid, ValueCodec.format(formats, i)));
        }
        portals.put(portal, new Portal(prepared.statement(), values, shorts(body)));
    }

    Prepared statement(String name) {
        Prepared prepared = statements.get(name);
        if (prepared == null) {
            throw new SqlException(SqlError.STATEMENT_UNKNOWN, "prepared statement \"" + name + "\" does not exist");
        }
        return prepared;
    }

    Portal portal(String name) {
        Portal portal = portals.get(name);
        if (portal == null) {
            throw new SqlException(SqlError.STATEMENT_UNKNOWN, "portal \"" + name + "\" does not exist");
        }
        return portal;
    }

    void close(BodyReader body) {
        if (body.readByte() == 'S') {
            statements.remove(body.readString());
        } else {
            portals.remove(body.readString());
        }
    }

    /** Removes everything, as DISCARD ALL does. */
    void clear() {
        statements.clear();
        portals.clear();
    }

    private static List<Integer> shorts(BodyReader body) {
        List<Integer> values = new ArrayList<>();
        for (int count = body.readShort(); count > 0; count--) {
            values.add((int) body.readShort());
        }
        return values;
    }

    /** A prepared statement and the declared types of its parameters. */
    record Prepared(Statement statement, List<Integer> oids) {

        List<Integer> parameterOids() {
            return oids.stream().map(o -> o == 0 ? Column.TEXT_OID : o).toList();
        }
    }

    /** A statement with its parameters and the result formats asked for. */
    record Portal(Statement statement, List<String> values, List<Integer> formats) {}
}
