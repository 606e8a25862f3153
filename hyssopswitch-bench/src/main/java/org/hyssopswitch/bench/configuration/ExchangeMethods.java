package org.hyssopswitch.bench.configuration;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.zip.Deflater;
import org.hyssopswitch.core.configuration.SubtreeDelta;

/** The ways that are compared. Every request says what the receiver has: one version, 8 bytes, and a sequence number. */
final class ExchangeMethods {

    private static final int REQUEST_BYTES = 17;
    private static final int ENTRY_BYTES = 30;
    private static final int HASH_BYTES = 8;

    private ExchangeMethods() {}

    static List<ExchangeMethod> all() {
        return List.of(
                method("whole state", 1, s -> REQUEST_BYTES + raw(s.others()) + entry(s.value().length)),
                method("whole state, deflated", 1, s -> REQUEST_BYTES + deflatedAll(s) + entry(0)),
                method("changed subtree", 1, s -> REQUEST_BYTES + entry(s.value().length)),
                method("changed subtree, deflated", 1, s -> REQUEST_BYTES + entry(deflated(s.value(), null))),
                method("compare by hash", 2, ExchangeMethods::compareByHash),
                method("version vector, chunk references", 1, ExchangeMethods::chunkReferences),
                method("version vector, dictionary", 1, s -> REQUEST_BYTES + entry(deflated(s.value(), s.base()))),
                method(
                        "version vector, SubtreeDelta",
                        1,
                        s -> REQUEST_BYTES + entry(SubtreeDelta.encode(s.base(), s.value()).length)));
    }

    /** The receiver sends the hash of each of its chunks; the sender answers with references and literals. */
    private static long compareByHash(ExchangeSample sample) {
        ChunkDelta delta = ChunkDelta.between(sample.base(), sample.value());
        return 2L * REQUEST_BYTES + (long) delta.baseChunks() * HASH_BYTES + entry(delta.bytes());
    }

    /** The sender knows from the version what the receiver has and finds common chunks alone (Barreto, Ferreira). */
    private static long chunkReferences(ExchangeSample sample) {
        return REQUEST_BYTES
                + entry(ChunkDelta.between(sample.base(), sample.value()).bytes());
    }

    private static long deflatedAll(ExchangeSample sample) {
        return sample.others().stream().mapToLong(b -> entry(deflated(b, null))).sum()
                + entry(deflated(sample.value(), null));
    }

    private static long raw(List<byte[]> values) {
        return values.stream().mapToLong(b -> entry(b.length)).sum();
    }

    private static long entry(long bytes) {
        return ENTRY_BYTES + bytes;
    }

    private static long deflated(byte[] value, byte[] dictionary) {
        Deflater deflater = new Deflater();
        if (dictionary != null) {
            deflater.setDictionary(dictionary);
        }
        deflater.setInput(value);
        deflater.finish();
        byte[] buffer = new byte[64 << 10];
        long total = 0;
        while (!deflater.finished()) {
            total += deflater.deflate(buffer);
        }
        deflater.end();
        return total;
    }

    private static ExchangeMethod method(String label, int rounds, ToLongFunction<ExchangeSample> bytes) {
        return new SimpleExchangeMethod(label, rounds, bytes);
    }

    private record SimpleExchangeMethod(String label, int rounds, ToLongFunction<ExchangeSample> bytesOf)
            implements ExchangeMethod {
        @Override
        public long bytes(ExchangeSample sample) {
            return bytesOf.applyAsLong(sample);
        }
    }
}
