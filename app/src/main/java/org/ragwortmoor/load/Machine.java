package org.ragwortmoor.load;

import java.lang.management.ManagementFactory;

/** The machine on which figures are taken. */
public final class Machine {
    private Machine() {}

    /** Returns the load average of the last minute; negative if the system does not say. */
    public static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /** Returns the number of processors. */
    public static int processors() {
        return Runtime.getRuntime().availableProcessors();
    }
}
