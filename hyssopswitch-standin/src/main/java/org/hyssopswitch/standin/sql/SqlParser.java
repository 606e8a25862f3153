package org.hyssopswitch.standin.sql;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses the supported statement shapes; anything else is a syntax error. */
public final class SqlParser {

    private final TokenCursor cursor;

    private SqlParser(TokenCursor cursor) {
        this.cursor = cursor;
    }

    /**
     * Parses statements separated by semicolons.
     *
     * @param sql the text, with comments
     * @return at least one statement, {@link Statement.Empty} for an empty text
     */
    public static Either<SqlFailure, List<Statement>> parse(String sql) {
        try {
            return Either.right(new SqlParser(new TokenCursor(Tokenizer.tokens(sql))).statements());
        } catch (SqlException e) {
            return Either.left(e.sqlFailure());
        }
    }

    private List<Statement> statements() {
        List<Statement> statements = new ArrayList<>();
        while (!cursor.atEnd()) {
            if (cursor.accept(";")) {
                continue;
            }
            statements.add(statement());
            if (!cursor.atStatementEnd()) {
                throw cursor.unexpected();
            }
        }
        return statements.isEmpty() ? List.of(new Statement.Empty()) : statements;
    }

    private Statement statement() {
        String verb = cursor.word();
        return switch (verb) {
            case "begin", "start" -> new Statement.Begin(readOnly(cursor.rest()));
            case "commit", "end" -> ended(new Statement.Commit());
            case "rollback", "abort" -> ended(new Statement.Rollback());
            case "set" -> set();
            case "show" -> new Statement.Show(cursor.rest().replace(" ", "_"));
            case "discard", "reset", "deallocate" -> discard(verb);
            case "select" -> select();
            case "insert" -> insert();
            case "update" -> update();
            default -> throw new SqlException(SqlError.SYNTAX_ERROR, "syntax error at or near \"" + verb + "\"");
        };
    }

    private Statement ended(Statement statement) {
        if (!cursor.accept("transaction")) {
            cursor.accept("work");
        }
        return statement;
    }

    private Statement discard(String verb) {
        cursor.rest();
        return new Statement.Discard(verb.equals("discard") ? "DISCARD ALL" : verb.toUpperCase(java.util.Locale.ROOT));
    }

    private Statement set() {
        if (cursor.accept("session", "characteristics", "as", "transaction")) {
            return new Statement.SetReadOnly(readOnly(cursor.rest()), true);
        }
        if (cursor.accept("transaction")) {
            return new Statement.SetReadOnly(readOnly(cursor.rest()), false);
        }
        if (!cursor.accept("session")) {
            cursor.accept("local");
        }
        String name = cursor.word();
        if (!cursor.accept("=")) {
            cursor.expect("to");
        }
        return new Statement.SetParameter(name, cursor.rest());
    }

    private static boolean readOnly(String modes) {
        return modes.contains("read only");
    }

    private Statement select() {
        int first = cursor.mark();
        if (cursor.accept("*", "from") && cursor.peek().text().startsWith("hyssop_")) {
            return new Statement.Control(cursor.word(), arguments());
        }
        cursor.reset(first);
        skipToFrom();
        Optional<Table> table = cursor.accept("from") ? Optional.of(table()) : Optional.empty();
        int afterTable = cursor.mark();
        cursor.reset(first);
        List<SelectItem> items = items(table);
        cursor.reset(afterTable);
        List<Condition> where = table.isPresent() ? where(table.get()) : List.of();
        return new Statement.Select(items, table, where);
    }

    private void skipToFrom() {
        while (!cursor.atStatementEnd() && !cursor.peek().is("from")) {
            cursor.next();
        }
    }

    private Statement insert() {
        cursor.expect("into");
        Table table = table();
        cursor.expect("(");
        List<Column> columns = new ArrayList<>();
        do {
            columns.add(column(table));
        } while (cursor.accept(","));
        cursor.expect(")", "values");
        List<Operand> values = arguments();
        if (!columns.equals(table.insertedColumns()) || values.size() != columns.size()) {
            throw new SqlException(
                    SqlError.SYNTAX_ERROR, "an insert must give " + table.insertedColumns() + " in this order");
        }
        return new Statement.Insert(table, values, onConflict(table), returning(table));
    }

    private Statement.OnConflict onConflict(Table table) {
        if (!cursor.accept("on")) {
            return Statement.OnConflict.FAIL;
        }
        cursor.expect("conflict");
        cursor.accept("(", "key", ")");
        cursor.expect("do");
        if (cursor.accept("nothing") && table == Table.KV) {
            return Statement.OnConflict.NOTHING;
        }
        cursor.expect("update", "set", "value", "=", "excluded.value");
        return Statement.OnConflict.UPDATE;
    }

    private Statement update() {
        if (table() != Table.KV) {
            throw new SqlException(SqlError.SYNTAX_ERROR, "only kv can be updated");
        }
        cursor.expect("set", "value", "=");
        Operand value = operand();
        return new Statement.Update(value, where(Table.KV), returning(Table.KV));
    }

    private List<SelectItem> returning(Table table) {
        return cursor.accept("returning") ? items(Optional.of(table)) : List.of();
    }

    private List<SelectItem> items(Optional<Table> table) {
        List<SelectItem> items = new ArrayList<>();
        do {
            if (table.isPresent() && cursor.accept("*")) {
                table.get().columns().forEach(c -> items.add(new SelectItem.TableColumn(c)));
            } else {
                items.add(item(table));
            }
        } while (cursor.accept(","));
        return items;
    }

    private SelectItem item(Optional<Table> table) {
        if (cursor.accept("count", "(", "*", ")")) {
            return new SelectItem.Count();
        }
        if (cursor.accept("hyssop_role", "(", ")")) {
            return new SelectItem.Role();
        }
        if (cursor.accept("hyssop_endpoint", "(", ")")) {
            return new SelectItem.EndpointName();
        }
        if (cursor.accept("pg_sleep")) {
            return new SelectItem.Sleep(arguments().get(0));
        }
        if (cursor.peek().kind() == Token.Kind.WORD && table.isPresent()) {
            return new SelectItem.TableColumn(column(table.get()));
        }
        return new SelectItem.Value(operand());
    }

    private Table table() {
        return switch (cursor.word()) {
            case "kv" -> Table.KV;
            case "ledger" -> Table.LEDGER;
            default -> throw new SqlException(SqlError.SYNTAX_ERROR, "the tables are kv and ledger");
        };
    }

    private Column column(Table table) {
        String name = cursor.word();
        return table.column(name)
                .orElseThrow(() -> new SqlException(SqlError.SYNTAX_ERROR, "column " + name + " does not exist"));
    }

    private List<Condition> where(Table table) {
        List<Condition> conditions = new ArrayList<>();
        if (cursor.accept("where")) {
            do {
                Column column = column(table);
                cursor.expect("=");
                conditions.add(new Condition(column, operand()));
            } while (cursor.accept("and"));
        }
        return conditions;
    }

    private List<Operand> arguments() {
        List<Operand> arguments = new ArrayList<>();
        cursor.expect("(");
        if (cursor.accept(")")) {
            return arguments;
        }
        do {
            arguments.add(operand());
        } while (cursor.accept(","));
        cursor.expect(")");
        return arguments;
    }

    private Operand operand() {
        Token token = cursor.next();
        Operand operand =
                switch (token.kind()) {
                    case STRING -> new Operand.Literal(token.text(), Column.TEXT_OID);
                    case NUMBER -> new Operand.Literal(token.text(), Column.INT4_OID);
                    case PARAMETER -> new Operand.Parameter(parameterNumber(token.text()));
                    default ->
                        throw new SqlException(
                                SqlError.SYNTAX_ERROR, "syntax error at or near \"" + token.text() + "\"");
                };
        if (cursor.accept("::")) {
            cursor.word();
        }
        return operand;
    }

    private static int parameterNumber(String digits) {
        return digits.length() > 5 ? Integer.MAX_VALUE : Integer.parseInt(digits);
    }
}
