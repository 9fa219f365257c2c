package org.ragwortmoor.load;

import java.util.List;
import org.ragwortmoor.settings.Address;

/**
 * Proxies that run elsewhere, without switches for faults.
 *
 * @param proxies HTTP addresses
 * @param groups groups
 */
record AddressTarget(List<Address> proxies, List<String> groups) implements LoadTarget {
    @Override
    public String apply(FaultPlan fault) {
        throw new IllegalStateException("proxies that run elsewhere have no fault switches");
    }

    @Override
    public void clear(FaultPlan fault) {
        throw new IllegalStateException("proxies that run elsewhere have no fault switches");
    }

    @Override
    public void close() {
        // The proxies are not the load tool's.
    }
}
