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

/** What a request costs at the scheduler, from its submission through all progress to its end. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

  private static final double MEMORY_USE_FRACTION = 0.8;
  private static final int QUEUED_REQUESTS = 150;

  /** How many endpoints the pool has. */
  @Param({"12", "100", "300"})
  public int endpoints;

  /** How many client accounts send requests. */
  @Param({"5", "1000", "16000"})
  public int accounts;

  private SchedulerLoadGenerator loadWithCapacity;
  private SchedulerLoadGenerator loadWithQueue;

  /** Fills the schedulers. */
  @Setup(Level.Trial)
  public void setUp() {
    loadWithCapacity = SchedulerLoadGenerator.of(endpoints, accounts);
    loadWithCapacity.fillMemory(MEMORY_USE_FRACTION);
    loadWithQueue = SchedulerLoadGenerator.of(endpoints, accounts);
    loadWithQueue.fillUntilQueued(QUEUED_REQUESTS);
  }

  /** A request that is placed at once. */
  @Benchmark
  public void requestWithRoom() {
    loadWithCapacity.replaceOldestRequest();
  }

  /** A request that waits behind others. */
  @Benchmark
  public void requestThroughQueue() {
    loadWithQueue.replaceOldestRequest();
  }

  /** A load report. */
  @Benchmark
  public void loadReport() {
    loadWithCapacity.reportNextLoad();
  }
}
