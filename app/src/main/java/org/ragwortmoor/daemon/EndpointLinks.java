package org.ragwortmoor.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.coordination.engine.EngineEvent;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.transport.EndpointListener;
import org.ragwortmoor.transport.EndpointTransport;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;

/**
 * Connects the group hosts of one proxy to one transport.
 *
 * <p>Each engine numbers its own connections, so the links map them to numbers that are unique in
 * the process.
 */
final class EndpointLinks implements EndpointPort, EndpointListener, AutoCloseable {
    private final AtomicLong lastLink = new AtomicLong();
    private final Map<Long, Link> links = new ConcurrentHashMap<>();
    private final Map<LinkKey, Long> numbers = new ConcurrentHashMap<>();
    private final EndpointTransport transport;
    private final String proxy;

    EndpointLinks(
            TransportSettings settings, Executor workers, TransportMetrics metrics, String proxy) {
        this.transport = new EndpointTransport(settings, workers, this, metrics);
        this.proxy = proxy;
    }

    @Override
    public void open(GroupHost host, String endpoint, String address, long connection) {
        long link = lastLink.incrementAndGet();
        links.put(link, new Link(host, endpoint, connection));
        numbers.put(new LinkKey(host, connection), link);
        transport.open(address, link, proxy, false);
    }

    @Override
    public void close(GroupHost host, long connection) {
        Long link = numbers.remove(new LinkKey(host, connection));
        if (link != null) {
            links.remove(link);
            transport.close(link);
        }
    }

    @Override
    public void send(GroupHost host, long connection, long exchange, EndpointCall call) {
        Long link = numbers.get(new LinkKey(host, connection));
        if (link != null) {
            transport.send(link, exchange, call);
        }
    }

    @Override
    public void opened(long link, EndpointStatus status) {
        Link target = links.get(link);
        if (target != null) {
            target.host.submit(
                    new EngineEvent.ConnectionOpened(target.endpoint, target.connection));
        }
    }

    @Override
    public void openFailed(long link, String reason) {
        Link target = forget(link);
        if (target != null) {
            target.host.submit(
                    new EngineEvent.ConnectionFailed(target.endpoint, target.connection, reason));
        }
    }

    @Override
    public void lost(long link, String reason) {
        Link target = forget(link);
        if (target != null) {
            target.host.submit(new EngineEvent.ConnectionLost(target.connection, reason));
        }
    }

    @Override
    public void answered(long link, long exchange, EndpointAnswer answer) {
        Link target = links.get(link);
        if (target != null) {
            target.host.submit(new EngineEvent.AnswerReceived(target.connection, exchange, answer));
        }
    }

    private Link forget(long link) {
        Link target = links.remove(link);
        if (target != null) {
            numbers.remove(new LinkKey(target.host, target.connection));
        }
        return target;
    }

    @Override
    public void close() {
        transport.close();
    }

    /** A connection of one group host. */
    private record Link(GroupHost host, String endpoint, long connection) {}

    /** Key of a connection within the process; hosts are compared by identity. */
    private record LinkKey(GroupHost host, long connection) {}
}
