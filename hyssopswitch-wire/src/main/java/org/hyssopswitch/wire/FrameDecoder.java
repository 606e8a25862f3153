package org.hyssopswitch.wire;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits a byte stream into frames. Holds at most one incomplete frame. Not thread-safe. */
public final class FrameDecoder {

    /** Greatest length of an untyped frame. */
    public static final int MAX_STARTUP_BYTES = 10_000;

    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BYTES = 512;

    private final int maxFrameBytes;
    private boolean startup;
    private byte[] held = new byte[INITIAL_BYTES];
    private int heldBytes;

    /**
     * Creates a decoder.
     *
     * @param startup whether untyped frames come first, as from a caller
     * @param maxFrameBytes greatest accepted length of a typed frame
     */
    public FrameDecoder(boolean startup, int maxFrameBytes) {
        if (maxFrameBytes < LENGTH_BYTES) {
            throw new IllegalArgumentException("the frame bound must be at least 4 bytes, but is " + maxFrameBytes);
        }
        this.startup = startup;
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Ends the phase of untyped frames: the next frame has a type. Must be called before the bytes that follow the
     * startup frame are fed; {@link #feed} returns at most one untyped frame at a time for that reason.
     */
    public void endStartup() {
        startup = false;
    }

    /**
     * Takes bytes and returns the frames that they complete.
     *
     * @param input bytes received; consumed wholly
     * @return the frames in order, or why the stream cannot be read further
     */
    public Either<WireFailure, List<Frame>> feed(ByteBuffer input) {
        append(input);
        return drain();
    }

    /** Returns the frames that are complete in the bytes held; used after {@link #endStartup}. */
    public Either<WireFailure, List<Frame>> drain() {
        List<Frame> frames = new ArrayList<>();
        int position = 0;
        while (true) {
            int header = (startup ? 0 : 1) + LENGTH_BYTES;
            if (heldBytes - position < header) {
                break;
            }
            byte type = startup ? Frame.STARTUP : held[position];
            int length = ByteBuffer.wrap(held, position + header - LENGTH_BYTES, LENGTH_BYTES)
                    .getInt();
            int bound = startup ? MAX_STARTUP_BYTES : maxFrameBytes;
            if (length < LENGTH_BYTES || length > bound) {
                return Either.left(new WireFailure.BadLength(type, length, bound));
            }
            int end = position + header - LENGTH_BYTES + length;
            if (heldBytes < end) {
                break;
            }
            frames.add(new Frame(type, Arrays.copyOfRange(held, position + header, end)));
            position = end;
            if (startup) {
                break;
            }
        }
        discard(position);
        return Either.right(frames);
    }

    private void append(ByteBuffer input) {
        int added = input.remaining();
        if (heldBytes + added > held.length) {
            held = Arrays.copyOf(held, Math.max(held.length * 2, heldBytes + added));
        }
        input.get(held, heldBytes, added);
        heldBytes += added;
    }

    private void discard(int count) {
        heldBytes -= count;
        if (heldBytes == 0 && held.length > INITIAL_BYTES) {
            held = new byte[INITIAL_BYTES];
            return;
        }
        System.arraycopy(held, count, held, 0, heldBytes);
    }
}
