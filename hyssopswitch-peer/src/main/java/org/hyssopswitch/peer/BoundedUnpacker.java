package org.hyssopswitch.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads MessagePack values from one frame and refuses lengths beyond its end before it allocates anything. */
final class BoundedUnpacker {

    private final int length;
    private final MessageUnpacker unpacker;

    BoundedUnpacker(byte[] bytes, int offset) {
        this.length = bytes.length - offset;
        this.unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length);
    }

    MessageUnpacker values() {
        return unpacker;
    }

    boolean hasMore() {
        return remaining() > 0;
    }

    int arrayLength() throws IOException {
        return check(unpacker.unpackArrayHeader());
    }

    int mapLength() throws IOException {
        return check(unpacker.unpackMapHeader());
    }

    byte[] binary() throws IOException {
        return unpacker.readPayload(check(unpacker.unpackBinaryHeader()));
    }

    String string() throws IOException {
        byte[] bytes = unpacker.readPayload(check(unpacker.unpackRawStringHeader()));
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IOException("a string is not UTF-8", e);
        }
    }

    private int check(int count) throws IOException {
        if (count < 0 || count > remaining()) {
            throw new IOException("a length of " + count + " exceeds the " + remaining() + " bytes that are left");
        }
        return count;
    }

    private long remaining() {
        return length - unpacker.getTotalReadBytes();
    }
}
