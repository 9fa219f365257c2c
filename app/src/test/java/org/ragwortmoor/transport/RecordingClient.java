package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** An endpoint transport whose listener records all events. */
final class RecordingClient implements EndpointListener, AutoCloseable {
    record Answered(long connection, long exchange, EndpointAnswer answer) {}

    record Ended(long connection, String reason) {}

    final List<Long> opened = new CopyOnWriteArrayList<>();
    final List<Ended> failed = new CopyOnWriteArrayList<>();
    final List<Ended> lost = new CopyOnWriteArrayList<>();
    final List<Answered> answers = new CopyOnWriteArrayList<>();
    final TransportMetrics metrics = new TransportMetrics(new PrometheusRegistry());
    final EndpointTransport transport;
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final AtomicLong ids = new AtomicLong();

    RecordingClient() {
        this("127.0.0.1");
    }

    RecordingClient(String localHost) {
        TransportSettings defaults = TransportSettings.defaults(localHost);
        // Five times the default timeouts, so that a busy machine does not fail a test.
        TransportSettings extended =
                new TransportSettings(
                        localHost,
                        defaults.eventLoopThreads(),
                        defaults.frameLimits(),
                        5 * defaults.connectTimeoutMillis(),
                        5 * defaults.helloTimeoutMillis(),
                        defaults.writeBufferBytes(),
                        defaults.queueCapacity(),
                        defaults.minBackoffMillis(),
                        defaults.maxBackoffMillis());
        transport = new EndpointTransport(extended, executor, this, metrics);
    }

    long open(String address, String client) throws InterruptedException {
        return open(address, client, false);
    }

    long open(String address, String client, boolean administrative) throws InterruptedException {
        long connection = tryOpen(address, client, administrative);
        assertThat(failed).noneMatch(e -> e.connection() == connection);
        return connection;
    }

    long tryOpen(String address, String client, boolean administrative)
            throws InterruptedException {
        long connection = ids.incrementAndGet();
        transport.open(address, connection, client, administrative);
        Await.until(
                "connection " + connection,
                () ->
                        opened.contains(connection)
                                || failed.stream().anyMatch(e -> e.connection() == connection));
        return connection;
    }

    long send(long connection, EndpointCall call) {
        long exchange = ids.incrementAndGet();
        transport.send(connection, exchange, call);
        return exchange;
    }

    EndpointAnswer call(long connection, EndpointCall call) throws InterruptedException {
        return answer(send(connection, call));
    }

    EndpointAnswer answer(long exchange) throws InterruptedException {
        Await.until("answer to " + exchange, () -> has(exchange));
        return answers.stream()
                .filter(a -> a.exchange() == exchange)
                .findFirst()
                .orElseThrow()
                .answer();
    }

    boolean has(long exchange) {
        return count(exchange) > 0;
    }

    long count(long exchange) {
        return answers.stream().filter(a -> a.exchange() == exchange).count();
    }

    EndpointStatus status(long connection, EndpointCall call) throws InterruptedException {
        EndpointAnswer answer = call(connection, call);
        assertThat(answer).isInstanceOf(EndpointAnswer.StatusReport.class);
        return ((EndpointAnswer.StatusReport) answer).status();
    }

    @Override
    public void opened(long connection, EndpointStatus status) {
        opened.add(connection);
    }

    @Override
    public void openFailed(long connection, String reason) {
        failed.add(new Ended(connection, reason));
    }

    @Override
    public void lost(long connection, String reason) {
        lost.add(new Ended(connection, reason));
    }

    @Override
    public void answered(long connection, long exchange, EndpointAnswer answer) {
        answers.add(new Answered(connection, exchange, answer));
    }

    @Override
    public void close() {
        transport.close();
        executor.shutdown();
    }
}
