package org.hyssopswitch.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class StandinMainTests {

    private static final HttpClient HTTP = HttpClient.newHttpClient();

    @TempDir
    private Path directory;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "group --slots 0 | slots and connections must be at least 1, but are 0 and 34",
                "group --slots many | Invalid value for option '--slots'",
                "group --endpoints 3 --ports 1,2 | --ports must name 3 ports, but names [1, 2]",
                "group --database UPPER | UPPER",
                "group --unknown 1 | Unknown option",
                "platform | Missing required option: '--credentials",
                "platform --credentials admin:a | must be KIND:NAME:TOKEN",
                "platform --credentials admin:a:t --port 70000 | must be between 0 and 65535, but is 70000",
                "group --settings missing.yaml | missing.yaml: cannot be read",
            })
    void refusesMistakesNamingFieldAndValue(String arguments, String message) {
        StringWriter errors = new StringWriter();
        assertEquals(2, run(errors, arguments.split(" ")));
        assertTrue(errors.toString().contains(message), errors::toString);
    }

    @Test
    void refusesAnUnknownKeyOfTheSettingsFile() throws IOException {
        Path file = Files.writeString(directory.resolve("group.yaml"), "slotz: 2\n");
        StringWriter errors = new StringWriter();
        assertEquals(2, run(errors, "group", "--settings", file.toString()));
        assertTrue(errors.toString().contains("the key slotz is not known"), errors::toString);
    }

    @Test
    void refusesAWrongValueOfTheSettingsFile() throws IOException {
        Path file = Files.writeString(directory.resolve("group.yaml"), "database: stock\nslots: 0\n");
        StringWriter errors = new StringWriter();
        assertEquals(2, run(errors, "group", "--settings", file.toString()));
        assertTrue(errors.toString().contains("but are 0 and 34"), errors::toString);
    }

    @Test
    void takesSettingsFromTheFileUnlessAnOptionIsGiven() throws IOException {
        Path file = Files.writeString(directory.resolve("group.yaml"), "database: stock\nendpoints: 5\n");
        String[] args = {"group", "--settings", file.toString(), "--endpoints", "1"};
        GroupCommand command = parse(new GroupCommand(), args);
        try (RunningStandin running = command.start()) {
            assertEquals(
                    Set.of("event", "database", "control", "stock-1"),
                    fields(running).keySet());
        }
    }

    @Test
    void switchesFaultsOfAGroupByHttp() throws Exception {
        try (RunningStandin running = parse(new GroupCommand(), "group").start()) {
            String port = fields(running).get("control");
            assertEquals(
                    200,
                    call("POST", port, "/partition?sets=orders-1%3Borders-2,orders-3")
                            .statusCode());
            assertEquals(200, call("POST", port, "/crash?endpoint=orders-2").statusCode());
            assertEquals(200, call("POST", port, "/restart?endpoint=orders-2").statusCode());
            assertEquals(
                    400,
                    call("POST", port, "/lag?endpoint=orders-2&millis=long").statusCode());
            assertEquals(400, call("POST", port, "/freeze?endpoint=other").statusCode());
            assertEquals(400, call("POST", port, "/freeze").statusCode());
            assertEquals(404, call("POST", port, "/explode").statusCode());
            assertTrue(call("GET", port, "/status").body().contains("\"role\":\"PRIMARY\""));
        }
    }

    @Test
    void switchesFaultsOfAPlatformByHttp() throws Exception {
        String[] args = {"platform", "--credentials", "vm:vm:token"};
        try (RunningStandin running = parse(new PlatformCommand(), args).start()) {
            String platform = fields(running).get("platform");
            String control = fields(running).get("control");
            assertEquals(200, call("GET", platform, "/objects/a").statusCode());
            assertEquals(200, call("POST", control, "/outage?value=REFUSING").statusCode());
            assertEquals(503, call("GET", platform, "/objects/a").statusCode());
            assertEquals(400, call("POST", control, "/outage?value=BROKEN").statusCode());
            assertTrue(call("GET", control, "/status").body().contains("\"READ\":2"));
        }
    }

    private static int run(StringWriter errors, String... args) {
        PrintStream before = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            return StandinMain.execute(args);
        } finally {
            System.setErr(before);
            errors.write(captured.toString(StandardCharsets.UTF_8));
        }
    }

    private static <T> T parse(T command, String... args) {
        CommandLine line = new CommandLine(command).setErr(new PrintWriter(new StringWriter()));
        YamlDefaults.in(args).ifPresent(line::setDefaultValueProvider);
        line.parseArgs(Arrays.copyOfRange(args, 1, args.length));
        return command;
    }

    private static Map<String, String> fields(RunningStandin running) {
        return Arrays.stream(running.line().split(" "))
                .map(f -> f.split("=", 2))
                .collect(Collectors.toMap(f -> f[0], f -> f[1]));
    }

    private static HttpResponse<String> call(String method, String port, String target)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + target))
                .header("Authorization", "Bearer token")
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
