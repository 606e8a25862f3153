package org.hyssopswitch.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Answers every request with the same bytes, or not at all, and keeps the requests. */
final class ScriptedServer implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final String answer;
    private final boolean keepOpen;

    ScriptedServer(String answer, boolean keepOpen) throws IOException {
        this.answer = answer;
        this.keepOpen = keepOpen;
        Thread thread = new Thread(this::serve, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    static ScriptedServer answering(int status, String header, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return new ScriptedServer(
                "HTTP/1.1 " + status + " X\r\nContent-Length: " + length + "\r\n" + header + "\r\n" + body, false);
    }

    URI url() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    String request() throws InterruptedException {
        return requests.take();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                requests.add(readRequest(socket.getInputStream()));
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
                if (!keepOpen) {
                    socket.close();
                }
            } catch (IOException e) {
                // The client went away or the server is closed; the loop decides.
            }
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = in.read();
        while (next != -1) {
            head.append((char) next);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head + readBody(in, head.toString());
            }
            next = in.read();
        }
        return head.toString();
    }

    private static String readBody(InputStream in, String head) throws IOException {
        int length = head.lines()
                .filter(l -> l.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:"))
                .mapToInt(l -> Integer.parseInt(l.substring(15).trim()))
                .findFirst()
                .orElse(0);
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
