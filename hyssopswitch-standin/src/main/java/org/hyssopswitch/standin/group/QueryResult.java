package org.hyssopswitch.standin.group;

import java.util.List;
import org.hyssopswitch.standin.sql.Column;

/** Rows as text, in the order of the columns, and the command tag. */
record QueryResult(List<Column> columns, List<List<String>> rows, String tag) {

    static QueryResult tag(String tag) {
        return new QueryResult(List.of(), List.of(), tag);
    }
}
