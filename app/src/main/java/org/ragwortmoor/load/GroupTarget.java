package org.ragwortmoor.load;

import java.util.List;
import org.ragwortmoor.settings.Address;

/**
 * A target of which one group is used.
 *
 * @param whole the whole target, which its starter closes
 * @param group group that the sessions use
 */
record GroupTarget(LoadTarget whole, String group) implements LoadTarget {
    @Override
    public List<Address> proxies() {
        return whole.proxies();
    }

    @Override
    public List<String> groups() {
        return List.of(group);
    }

    @Override
    public String apply(FaultPlan fault) {
        return whole.apply(fault);
    }

    @Override
    public void clear(FaultPlan fault) {
        whole.clear(fault);
    }

    @Override
    public void close() {
        // The whole target is closed by whoever started it.
    }
}
