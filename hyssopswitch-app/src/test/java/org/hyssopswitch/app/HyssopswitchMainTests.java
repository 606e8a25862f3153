package org.hyssopswitch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** The command line of the program. */
class HyssopswitchMainTests {

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @ParameterizedTest
    @CsvSource({
        "0, --help",
        "0, --version",
        "0, run --help",
        "2, ''",
        "2, fly",
        "2, run",
        "2, run --settings /no/such/file.yaml",
    })
    void endsWithTheDocumentedExitCode(int code, String arguments) {
        assertEquals(code, execute(arguments.isEmpty() ? new String[0] : arguments.split(" ")), err::toString);
        assertEquals(code == 0, err.toString().isEmpty());
    }

    @Test
    void namesTheFileTheFieldAndTheValueOfEveryMistake() throws IOException {
        Path file = Files.writeString(directory.resolve("vm.yaml"), "vm: NOT VALID\nwrong: 7\n");
        assertEquals(2, execute("run", "--settings", file.toString()));
        assertTrue(err.toString().contains("vm.yaml"), err::toString);
        assertTrue(err.toString().contains("wrong"), err::toString);
        assertTrue(err.toString().contains("NOT VALID"), err::toString);
    }

    private int execute(String... arguments) {
        CommandLine line = HyssopswitchMain.commandLine();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(arguments);
    }
}
