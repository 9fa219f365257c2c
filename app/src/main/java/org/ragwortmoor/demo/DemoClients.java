package org.ragwortmoor.demo;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.settings.Address;

/** Shares one client per address list, so that connections are reused. */
final class DemoClients {
    private static final Map<List<Address>, ApiClient> CLIENTS = new ConcurrentHashMap<>();

    private DemoClients() {}

    static ApiClient of(List<Address> addresses, Duration timeout) {
        return CLIENTS.computeIfAbsent(addresses, a -> new ApiClient(a, timeout));
    }
}
