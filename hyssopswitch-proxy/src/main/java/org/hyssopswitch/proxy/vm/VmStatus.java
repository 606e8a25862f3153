package org.hyssopswitch.proxy.vm;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.proxy.home.HomeStatus;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.operations.OperationsSource;

/** Reports the state of a VM, read on its decision thread. */
final class VmStatus implements OperationsSource {

    private static final long ANSWER_MILLIS = 2_000;

    private final DecisionLoop loop;
    private final Supplier<Boolean> ready;
    private final Supplier<Map<String, Object>> reader;

    VmStatus(DecisionLoop loop, Supplier<Boolean> ready, Supplier<Map<String, Object>> reader) {
        this.loop = loop;
        this.ready = ready;
        this.reader = reader;
    }

    @Override
    public boolean live() {
        return !ask(Map::of).containsKey("error");
    }

    @Override
    public boolean ready() {
        return ready.get();
    }

    @Override
    public Map<String, Object> status() {
        return ask(reader);
    }

    static Map<String, Object> describe(HomeStatus home) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("endpoint", home.endpoint().value());
        home.status().forEach(s -> describe(s, report));
        report.put("streams", home.streams());
        report.put("queued", home.queued());
        report.put("connections", home.connections());
        return report;
    }

    static void describe(EndpointStatus status, Map<String, Object> report) {
        report.put("role", status.role().name());
        report.put("acceptedTerm", status.acceptedTerm());
        report.put("applied", status.applied().toString());
        report.put("dataAgeMillis", status.dataAgeMillis());
    }

    private Map<String, Object> ask(Supplier<Map<String, Object>> question) {
        CompletableFuture<Map<String, Object>> answer = new CompletableFuture<>();
        loop.execute(() -> answer.complete(question.get()));
        try {
            return answer.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.of("error", "interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return Map.of("error", "the decision thread does not answer");
        }
    }
}
