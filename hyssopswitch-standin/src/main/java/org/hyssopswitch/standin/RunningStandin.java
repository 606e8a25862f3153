package org.hyssopswitch.standin;

import java.util.concurrent.CountDownLatch;

/** A stand-in that has started, with the line that tells its ports. */
record RunningStandin(String line, Runnable stop) implements AutoCloseable {

    /** Waits until the process is terminated, then stops. */
    int awaitTermination() {
        Runtime.getRuntime().addShutdownHook(new Thread(stop, "shutdown"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    @Override
    public void close() {
        stop.run();
    }
}
