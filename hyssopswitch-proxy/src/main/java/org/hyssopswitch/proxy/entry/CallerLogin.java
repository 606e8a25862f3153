package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.key.KeyCheckUtils;
import org.hyssopswitch.core.key.SessionKey;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/**
 * Checks that a caller has a key of the client account that it names.
 *
 * <p>An unknown account takes the same course as a known one and fails at its end.
 */
final class CallerLogin {

    private static final String MECHANISM = "SCRAM-SHA-256";
    private static final int ITERATIONS = 4096;
    private static final int SALT_BYTES = 16;
    private static final int HASH_BYTES = 32;
    private static final int NONCE_BYTES = 18;

    private final EntryContext context;
    private final FrameChannel channel;
    private final List<SessionKey> keys;
    private final Consumer<Option<SessionIdentity>> done;
    private final boolean cleartext;
    private Option<ScramExchange> exchange = Option.none();
    private boolean firstTaken;

    /**
     * Creates a login.
     *
     * @param context the entry
     * @param channel the caller's connection
     * @param user account and, after a slash, key, as given by the caller
     * @param done takes the identity, or nothing when the login failed
     */
    CallerLogin(EntryContext context, FrameChannel channel, String user, Consumer<Option<SessionIdentity>> done) {
        this.context = context;
        this.channel = channel;
        this.done = done;
        this.keys = KeyCheckUtils.candidates(user, context.configuration());
        // SCRAM must name one key before it learns which one the caller has.
        this.cleartext = keys.size() > 1 && channel.confidential();
    }

    void start() {
        if (cleartext) {
            channel.send(BackendFrames.authenticationCleartext().encode());
        } else {
            channel.send(BackendFrames.authenticationSasl(List.of(MECHANISM)).encode());
        }
    }

    /** Takes a frame of the exchange; throws {@link java.nio.BufferUnderflowException} when it ends too early. */
    void take(Frame frame) {
        if (!frame.is('p')) {
            done.accept(Option.none());
        } else if (cleartext) {
            password(new BodyReader(frame.body()).readString());
        } else if (!firstTaken) {
            first(new BodyReader(frame.body()));
        } else {
            last(new String(frame.body(), StandardCharsets.UTF_8));
        }
    }

    private void first(BodyReader body) {
        firstTaken = true;
        String mechanism = body.readString();
        String message = new String(body.readBytes(body.readInt()), StandardCharsets.UTF_8);
        KeyVerifier verifier = keys.isEmpty() ? unknown() : keys.get(0).verifier();
        ScramExchange scram = new ScramExchange(verifier, random(NONCE_BYTES));
        exchange = Option.some(scram);
        Option<String> answer = mechanism.equals(MECHANISM) ? scram.first(message) : Option.none();
        if (answer.isEmpty()) {
            done.accept(Option.none());
            return;
        }
        channel.send(BackendFrames.authenticationSaslContinue(answer.get().getBytes(StandardCharsets.UTF_8))
                .encode());
    }

    private void last(String message) {
        Option<String> answer = exchange.get().last(message);
        if (answer.isEmpty() || keys.isEmpty()) {
            done.accept(Option.none());
            return;
        }
        channel.send(BackendFrames.authenticationSaslFinal(answer.get().getBytes(StandardCharsets.UTF_8))
                .encode());
        done.accept(Option.some(SessionIdentity.of(keys.get(0))));
    }

    private void password(String key) {
        channel.pause();
        CompletableFuture<Void> unused = CompletableFuture.supplyAsync(() -> KeyCheckUtils.match(key, keys))
                .exceptionally(e -> Option.none())
                .thenAcceptAsync(
                        found -> {
                            channel.resume();
                            done.accept(found.map(SessionIdentity::of));
                        },
                        context.loop());
    }

    private KeyVerifier unknown() {
        return new KeyVerifier(
                new KeyId("unknown"), random(SALT_BYTES), ITERATIONS, random(HASH_BYTES), random(HASH_BYTES));
    }

    private String random(int count) {
        byte[] bytes = new byte[count];
        context.secrets().nextBytes(bytes);
        return Base64.getEncoder().encodeToString(bytes);
    }
}
