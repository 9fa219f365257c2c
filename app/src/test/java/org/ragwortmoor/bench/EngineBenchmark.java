package org.ragwortmoor.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.ragwortmoor.coordination.engine.CallerAnswer;

/** Measures the engine's decisions on one request, round robin over the groups of a proxy. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class EngineBenchmark {
    /** Endpoints of each group. */
    @Param("3")
    public int endpoints;

    /** Sessions with a write that waits for the primary, in each group. */
    @Param("0")
    public int waiting;

    /** Groups that the proxy serves; each has an engine of its own. */
    @Param("1")
    public int groups;

    private List<EngineFixture> engines;
    private int next;

    /** Creates the engines. */
    @Setup
    public void setUp() {
        engines = EngineFixture.create(groups, endpoints, waiting);
    }

    private EngineFixture engine() {
        next = (next + 1) % groups;
        return engines.get(next);
    }

    /** Admits and routes a session read, and takes the replica's answer. */
    @Benchmark
    public CallerAnswer routeRead() {
        return engine().read();
    }

    /** Refuses a write on arrival because it would end after its deadline. */
    @Benchmark
    public CallerAnswer refuseWrite() {
        return engine().refuse();
    }
}
