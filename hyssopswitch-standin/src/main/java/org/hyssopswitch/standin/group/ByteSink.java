package org.hyssopswitch.standin.group;

/** Takes the bytes that a session sends. */
interface ByteSink {

    void write(byte[] bytes);

    /** Closes after the bytes written before. */
    void close();
}
