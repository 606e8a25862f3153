package org.hyssopswitch.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A loopback proxy whose open connections can be made silent for good in both directions, while new ones work. */
final class SilencingProxy implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final int BUFFER_BYTES = 8192;

    private final ServerSocket listener;
    private final int targetPort;
    private final List<Socket> open = new ArrayList<>();
    private final Set<Socket> silent = new HashSet<>();

    SilencingProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void silenceOpenConnections() {
        silent.addAll(open);
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            synchronized (this) {
                open.add(near);
                open.add(far);
            }
            startThread(() -> copy(near, far));
            startThread(() -> copy(far, near));
        }
    }

    private void copy(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = from.getInputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            if (!isSilent(from)) {
                to.getOutputStream().write(buffer, 0, count);
            }
        }
        if (!isSilent(from)) {
            to.close();
        }
    }

    private synchronized boolean isSilent(Socket socket) {
        return silent.contains(socket);
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // A side was closed, or the test has ended.
                    }
                },
                "silencing-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private interface Task {

        void run() throws IOException;
    }
}
