package org.hyssopswitch.proxy.net;

/** A connection that carries frames. Used on the decision thread only. */
public interface FrameChannel {

    /**
     * Sends bytes after those sent before.
     *
     * @param bytes whole frames, encoded
     * @param written run on the decision thread once the bytes have left this process
     */
    void send(byte[] bytes, Runnable written);

    /**
     * Sends bytes after those sent before.
     *
     * @param bytes whole frames, encoded
     */
    default void send(byte[] bytes) {
        send(bytes, () -> {});
    }

    /**
     * Sends bytes and closes the connection once they have left this process.
     *
     * @param bytes whole frames, encoded
     */
    void sendAndClose(byte[] bytes);

    /** Stops reading until {@link #resume}; frames already decoded are still delivered. */
    void pause();

    /** Reads again. */
    void resume();

    /** Ends the phase of untyped frames. */
    void endStartup();

    /** Sends the consent to TLS and takes what follows as TLS; only while TLS is available. */
    void startTls();

    /** Tells whether TLS is available and not yet in use. */
    boolean tlsAvailable();

    /** Tells whether nobody else can read what is sent: the connection uses TLS or does not leave the machine. */
    boolean confidential();

    /** Closes the connection; the listener is told. */
    void close();
}
