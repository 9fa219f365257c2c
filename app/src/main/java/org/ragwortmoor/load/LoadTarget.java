package org.ragwortmoor.load;

import java.util.List;
import org.ragwortmoor.settings.Address;

/** Where a load goes. */
public interface LoadTarget extends AutoCloseable {
    /** Returns the HTTP addresses of the proxies. */
    List<Address> proxies();

    /** Returns the groups that the sessions use. */
    List<String> groups();

    /** Switches a fault on and returns what was done, for the log. */
    String apply(FaultPlan fault);

    /** Ends a fault that was switched on for a time. */
    void clear(FaultPlan fault);

    @Override
    void close();
}
