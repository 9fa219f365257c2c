package org.ragwortmoor.standin;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A stand-in endpoint as a process of its own; the command line creates and closes it. */
public final class StandinProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StandinProcess.class);

    private final StandinServer server;
    private final CountDownLatch closed = new CountDownLatch(1);

    /**
     * Starts the endpoint.
     *
     * @param random source of the incarnation of an endpoint without earlier data
     * @throws IOException if the port is taken or the data folder cannot be used
     */
    public StandinProcess(StandinSettings settings, RandomGenerator random) throws IOException {
        this.server = StandinServer.start(settings, random);
        LOG.info(
                "endpoint {} of group {} listens on {}",
                settings.endpoint(),
                settings.group(),
                server.address());
    }

    /** Returns the server. */
    public StandinServer server() {
        return server;
    }

    /** Waits until the process is closed. */
    public void awaitClose() throws InterruptedException {
        closed.await();
    }

    @Override
    public void close() {
        server.close();
        closed.countDown();
    }
}
