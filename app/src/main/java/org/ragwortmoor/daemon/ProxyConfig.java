package org.ragwortmoor.daemon;

import java.util.List;
import org.ragwortmoor.coordination.engine.EngineSettings;

/**
 * Checked configuration of a proxy.
 *
 * @param name identifier of the proxy, unique in the deployment
 * @param failureDomain failure domain in which it runs
 * @param httpHost IP number of the HTTP API
 * @param httpPort port of the HTTP API; 0 for any
 * @param controls addresses of the control processes, as IP number and port
 * @param workers worker threads
 * @param sessionLifetimeMillis lifetime of a session in milliseconds
 * @param maxRequestBytes largest request body in bytes
 * @param times times of requests
 * @param engine thresholds of the engines
 */
public record ProxyConfig(
        String name,
        String failureDomain,
        String httpHost,
        int httpPort,
        List<String> controls,
        int workers,
        long sessionLifetimeMillis,
        long maxRequestBytes,
        Times times,
        EngineSettings engine) {
    /** Copies the list. */
    public ProxyConfig {
        controls = List.copyOf(controls);
    }

    /**
     * Times of requests, in milliseconds.
     *
     * @param defaultDeadlineMillis time within which a request without a deadline is answered
     * @param maxDeadlineMillis longest deadline that a request may state
     * @param transactionMillis time after which an open transaction is rolled back
     */
    public record Times(
            long defaultDeadlineMillis, long maxDeadlineMillis, long transactionMillis) {
        /** Returns the defaults: longer than a failover, shorter than idle limits of balancers. */
        public static Times defaults() {
            return new Times(5_000, 60_000, 30_000);
        }
    }
}
