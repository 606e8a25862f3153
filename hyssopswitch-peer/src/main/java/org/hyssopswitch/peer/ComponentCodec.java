package org.hyssopswitch.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** Writes and reads the values of one type of record component. */
interface ComponentCodec {

    void write(MessagePacker packer, Object value) throws IOException;

    Object read(BoundedUnpacker in) throws IOException;
}
