package org.ragwortmoor.load;

import java.io.IOException;
import java.util.List;

/** One of the measures of the design page, taken in pairs beside its baseline. */
public interface Measure {
    /** All measures. */
    List<Measure> ALL =
            List.of(
                    new ReplicaShareMeasure(),
                    new WriteGapMeasure(),
                    new CrestMeasure(),
                    new ShortWaitMeasure());

    /** Returns the name on the command line. */
    String name();

    /**
     * Takes the measure and prints each pair, the spread and whether the target is met.
     *
     * @return whether the target is met
     * @throws IOException if a deployment does not start
     */
    boolean run(MeasureRun run) throws IOException;
}
