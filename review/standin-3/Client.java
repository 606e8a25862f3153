import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A session of a client. */
final class Client implements AutoCloseable {

    /** The lines of an answer, the status line included; empty if the connection ended. */
    record Answer(List<String> lines) {

        String outcome() {
            return lines.stream()
                    .filter(line -> line.startsWith("DONE") || line.startsWith("ERR"))
                    .findFirst()
                    .orElse("NONE");
        }

        boolean succeeded() {
            return outcome().startsWith("DONE");
        }
    }

    private final Socket socket = new Socket();
    private final BufferedReader in;

    Client(Env.Vm vm, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(vm.ip, vm.front), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    boolean start(String database, String key) throws IOException {
        send("START " + database + " " + key + "\r\n");
        String line = in.readLine();
        return line != null && line.startsWith("READY");
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text + "\r\n");
        return receive();
    }

    Answer receive() throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = in.readLine();
            if (line == null) {
                return new Answer(List.of());
            }
            lines.add(line);
            if (line.startsWith("READY")) {
                return new Answer(lines);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
