package org.knapweedcleat.bench;

import java.io.PrintStream;
import java.util.Collection;
import java.util.Locale;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Prints the processor time and the memory that scheduling decisions take. */
final class DecisionCostReport {

  private static final TimeValue ITERATION_TIME = TimeValue.milliseconds(300);
  private static final int WARMUP_ITERATIONS = 2;
  private static final int MEASUREMENT_ITERATIONS = 3;
  private static final int SMALL_RUN_REQUESTS = 10_000;
  private static final int LARGE_RUN_REQUESTS = 20_000;

  private DecisionCostReport() {}

  static void print(PrintStream out) throws RunnerException {
    printTimes(out);
    printMemory(out);
  }

  private static void printTimes(PrintStream out) throws RunnerException {
    Options options =
        new OptionsBuilder()
            .include(DecisionBenchmark.class.getName())
            .forks(1)
            .warmupIterations(WARMUP_ITERATIONS)
            .warmupTime(ITERATION_TIME)
            .measurementIterations(MEASUREMENT_ITERATIONS)
            .measurementTime(ITERATION_TIME)
            .verbosity(VerboseMode.SILENT)
            .build();
    Collection<RunResult> results = new Runner(options).run();
    out.println("| benchmark | endpoints | client accounts | microseconds | error |");
    out.println("|---|---|---|---|---|");
    for (RunResult result : results) {
      out.printf(
          Locale.ROOT,
          "| %s | %s | %s | %.2f | %.2f |%n",
          result.getPrimaryResult().getLabel(),
          result.getParams().getParam("endpoints"),
          result.getParams().getParam("accounts"),
          result.getPrimaryResult().getScore(),
          result.getPrimaryResult().getScoreError());
    }
    out.println();
  }

  /**
   * Derives the memory per request from two runs of different length, in which the scheduler keeps
   * the record of every decision.
   */
  private static void printMemory(PrintStream out) {
    long smallRunBytes = heapGrowthBytes(SMALL_RUN_REQUESTS);
    long largeRunBytes = heapGrowthBytes(LARGE_RUN_REQUESTS);
    double bytesPerRequest =
        (double) (largeRunBytes - smallRunBytes) / (LARGE_RUN_REQUESTS - SMALL_RUN_REQUESTS);
    out.println("| heap | bytes |");
    out.println("|---|---|");
    out.printf(Locale.ROOT, "| after %d requests | %d |%n", SMALL_RUN_REQUESTS, smallRunBytes);
    out.printf(Locale.ROOT, "| after %d requests | %d |%n", LARGE_RUN_REQUESTS, largeRunBytes);
    out.printf(Locale.ROOT, "| each remembered request | %.0f |%n%n", bytesPerRequest);
  }

  private static long heapGrowthBytes(int requests) {
    long beforeBytes = usedHeapBytes();
    SchedulerLoadGenerator load = SchedulerLoadGenerator.of(64, 1_000);
    load.fillMemory(0.5);
    for (int count = 0; count < requests; count++) {
      load.replaceOldestRequest();
    }
    long afterBytes = usedHeapBytes();
    return load.scheduler().activePlacements() > 0 ? afterBytes - beforeBytes : 0;
  }

  private static long usedHeapBytes() {
    for (int count = 0; count < 3; count++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
