package org.knapweedcleat.bench;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the scheduler time of a request, from submission through all progress to its end. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

  private static final double MEMORY_USE_FRACTION = 0.8;
  private static final int QUEUED_REQUESTS = 150;

  /** The number of endpoints in the pool. */
  @Param({"12", "100", "300"})
  public int endpoints;

  /** The number of client accounts that send requests. */
  @Param({"5", "1000", "16000"})
  public int accounts;

  private SchedulerLoadGenerator loadWithCapacity;
  private SchedulerLoadGenerator loadWithQueue;

  /** Fills the memory of one scheduler and the queue of the other. */
  @Setup(Level.Trial)
  public void setUp() {
    loadWithCapacity = SchedulerLoadGenerator.of(endpoints, accounts);
    loadWithCapacity.fillMemory(MEMORY_USE_FRACTION);
    loadWithQueue = SchedulerLoadGenerator.of(endpoints, accounts);
    loadWithQueue.fillUntilQueued(QUEUED_REQUESTS);
  }

  /** Replaces a request while the pool has free memory. */
  @Benchmark
  public void requestWithRoom() {
    loadWithCapacity.replaceOldestRequest();
  }

  /** Replaces a request while others are queued. */
  @Benchmark
  public void requestThroughQueue() {
    loadWithQueue.replaceOldestRequest();
  }

  /** Applies a load report of an endpoint. */
  @Benchmark
  public void loadReport() {
    loadWithCapacity.reportNextLoad();
  }
}
