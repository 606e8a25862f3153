package review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session: one connection, one request at a time. */
final class Caller implements Closeable {

    private static final AtomicLong IDS = new AtomicLong(0x5c0e7a2100000000L);

    private final Socket socket;
    private final InputStream in;

    /**
     * Answer to one request.
     *
     * @param end {@code DONE}, {@code ERR}, {@code CLOSED} if the connection ended first, or {@code SILENT}
     */
    record Answer(String id, String end, List<String> rows, String rest, String ready) {

        boolean succeeded() {
            return end.equals("DONE");
        }

        String code() {
            return end.equals("ERR") ? rest.split(" ", 2)[0] : end;
        }
    }

    /** Connects and starts a session; throws if it is not answered with READY. */
    Caller(int port, String database, String key) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        socket.setSoTimeout(2_000);
        try {
            send("START " + database + " " + key);
            String line = readLine();
            if (line == null || !line.startsWith("READY")) {
                throw new IOException("session refused: " + line);
            }
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet());
    }

    Answer query(String text, int timeoutMillis) {
        return query(newId(), text, timeoutMillis);
    }

    Answer query(String id, String text, int timeoutMillis) {
        List<String> rows = new ArrayList<>();
        String end = "CLOSED";
        String rest = "";
        try {
            socket.setSoTimeout(timeoutMillis);
            send("QUERY " + id + " " + text);
            for (String line = readLine(); line != null; line = readLine()) {
                String[] fields = line.split(" ", 2);
                String tail = fields.length > 1 ? fields[1] : "";
                switch (fields[0]) {
                    case "ROW" -> rows.add(tail);
                    case "DONE", "ERR" -> {
                        end = fields[0];
                        rest = tail;
                    }
                    case "READY" -> {
                        return new Answer(id, end, rows, rest, tail);
                    }
                    default -> throw new IOException("unexpected message: " + line);
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(id, "SILENT", rows, "", "");
        } catch (IOException e) {
            rest = String.valueOf(e.getMessage());
        }
        return new Answer(id, "CLOSED", rows, rest, "");
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) next);
        }
        return null;
    }
}
