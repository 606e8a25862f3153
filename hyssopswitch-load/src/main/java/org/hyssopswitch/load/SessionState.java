package org.hyssopswitch.load;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.load.audit.RowValue;

/** What a session knows of its own rows. Confined to the session's thread. */
final class SessionState {

    private final String prefix;
    private final List<Row> rows = new ArrayList<>();
    private long requests;
    private int renamed;

    SessionState(String account, int session, String run, int rowCount) {
        this.prefix = account + "/" + run + "/" + session;
        for (int i = 0; i < rowCount; i++) {
            rows.add(new Row(prefix + "/" + i));
        }
    }

    int rowCount() {
        return rows.size();
    }

    Row row(int index) {
        return rows.get(index);
    }

    /** An identifier that is unique in the run. */
    String nextRequest() {
        return prefix + "/r" + ++requests;
    }

    /**
     * Uses another key from now on, after a write of unknown outcome: it may still take effect after later writes, so
     * nothing can be expected of the old key any more.
     */
    void abandon(int index) {
        rows.set(index, new Row(prefix + "/" + index + "." + ++renamed));
    }

    /** A row that only this session writes. */
    static final class Row {

        private final String key;
        private long sent;
        private long acknowledged;

        Row(String key) {
            this.key = key;
        }

        String key() {
            return key;
        }

        long acknowledged() {
            return acknowledged;
        }

        RowValue nextValue() {
            return new RowValue(key, ++sent);
        }

        void acknowledge(RowValue value) {
            acknowledged = value.sequence();
        }
    }
}
