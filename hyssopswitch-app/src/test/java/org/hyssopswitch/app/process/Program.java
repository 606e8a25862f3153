package org.hyssopswitch.app.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One of our programs in a process of its own. */
final class Program implements AutoCloseable {

    private static final long END_SECONDS = 60;

    private final Process process;
    private final Map<String, String> ready;

    private Program(Process process, Map<String, String> ready) {
        this.process = process;
        this.ready = ready;
    }

    /** Starts a program and reads the line of key=value pairs that it prints when it is ready. */
    static Program start(Class<?> main, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
        for (String line = out.readLine(); line != null; line = out.readLine()) {
            if (line.startsWith("event=ready") || line.startsWith("callers=")) {
                return new Program(process, pairs(line));
            }
        }
        throw new IOException(main.getName() + " ended before it was ready");
    }

    int port(String name) {
        return Integer.parseInt(ready.get(name));
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Asks the process to end and gives its exit code. */
    int terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the process does not end");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static Map<String, String> pairs(String line) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : line.split(" ")) {
            int sign = pair.indexOf('=');
            pairs.put(pair.substring(0, sign), pair.substring(sign + 1));
        }
        return pairs;
    }
}
