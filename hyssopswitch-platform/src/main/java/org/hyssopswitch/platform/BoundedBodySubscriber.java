package org.hyssopswitch.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects a body up to a length and fails beyond it. */
final class BoundedBodySubscriber implements BodySubscriber<byte[]> {

    private final int maxBytes;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private Flow.Subscription subscription;

    BoundedBodySubscriber(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        subscription = given;
        given.request(1);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            collected.writeBytes(bytes);
        }
        if (collected.size() > maxBytes) {
            subscription.cancel();
            body.completeExceptionally(new IOException("the answer has more than " + maxBytes + " bytes"));
            return;
        }
        subscription.request(1);
    }

    @Override
    public void onError(Throwable error) {
        body.completeExceptionally(error);
    }

    @Override
    public void onComplete() {
        body.complete(collected.toByteArray());
    }
}
