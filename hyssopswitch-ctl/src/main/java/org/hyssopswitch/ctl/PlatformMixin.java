package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import picocli.CommandLine.Option;

/** The options of commands that call the platform. */
final class PlatformMixin {

    private static final int MAX_ANSWER_BYTES = 64 << 20;

    @Option(
            names = "--platform",
            paramLabel = "URL",
            required = true,
            defaultValue = "${env:HYSSOPCTL_PLATFORM}",
            description = "Base URL of the platform. Default: the variable HYSSOPCTL_PLATFORM.")
    private String url;

    @Option(
            names = "--credential-file",
            paramLabel = "FILE",
            required = true,
            defaultValue = "${env:HYSSOPCTL_CREDENTIAL_FILE}",
            description = "File with the team's credential. Default: the variable HYSSOPCTL_CREDENTIAL_FILE.")
    private Path credentialFile;

    @Option(
            names = "--call-timeout-millis",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "Milliseconds that one call to the platform may take. Default: ${DEFAULT-VALUE}.")
    private long callTimeoutMillis;

    /** Runs an operation with a client, which is closed afterwards. */
    <T> Either<CtlFailure, T> with(Function<PlatformClient, Either<CtlFailure, T>> operation) {
        return options().flatMap(options -> {
            try (PlatformClient client = new HttpPlatformClient(options)) {
                return operation.apply(client);
            }
        });
    }

    private Either<CtlFailure, PlatformOptions> options() {
        Try<String> credential = Try.of(() -> Files.readString(credentialFile).strip());
        if (credential.isFailure()) {
            return Either.left(new CtlFailure.WrongArgument(
                    "--credential-file", credentialFile.toString(), "names a file that cannot be read"));
        }
        try {
            return Either.right(
                    new PlatformOptions(URI.create(url), credential.get(), callTimeoutMillis, MAX_ANSWER_BYTES));
        } catch (IllegalArgumentException | HyssopException e) {
            return Either.left(new CtlFailure.WrongArgument("--platform", url, "is refused: " + e.getMessage()));
        }
    }
}
