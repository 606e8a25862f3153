import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session: one statement at a time, as the pages say. */
final class Client implements Closeable {

    private static final AtomicLong NEXT = new AtomicLong(0x1000);

    private final Socket socket = new Socket();
    private final BufferedReader in;
    String state = "I";

    Client(Vm vm, String database, String key, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(vm.ip, vm.front), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(2_000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 1 << 16);
        send("START " + database + " " + key);
        String line = read();
        if (!line.startsWith("READY")) {
            socket.close();
            throw new IOException("refused: " + line);
        }
        socket.setSoTimeout(timeoutMillis);
    }

    static String newId() {
        return String.format("c%015x", NEXT.incrementAndGet());
    }

    /** Sends a statement and returns the reply; throws if the connection ends or nothing comes in time. */
    Reply query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text);
        List<String> rows = new ArrayList<>();
        String outcome = null;
        while (true) {
            String line = read();
            if (line.startsWith("ROW")) {
                rows.add(line.length() > 4 ? line.substring(4) : "");
            } else if (line.startsWith("READY")) {
                state = line.split(" ")[1];
                return new Reply(outcome, rows, state);
            } else {
                outcome = line;
            }
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private String read() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("connection ended");
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A complete reply. */
    record Reply(String outcome, List<String> rows, String state) {

        boolean succeeded() {
            return outcome != null && outcome.startsWith("DONE");
        }

        String code() {
            return succeeded() ? "DONE" : outcome.split(" ")[1];
        }
    }
}
