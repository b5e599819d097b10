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

/** Measures what the decisions cost, in processor time and memory. */
final class CostReport {

  private static final TimeValue ITERATION = TimeValue.milliseconds(300);
  private static final int WARMUPS = 2;
  private static final int MEASURED = 3;
  private static final int SMALL_RUN = 10_000;
  private static final int LARGE_RUN = 20_000;

  private CostReport() {}

  static void print(PrintStream out) throws RunnerException {
    printTimes(out);
    printMemory(out);
  }

  private static void printTimes(PrintStream out) throws RunnerException {
    Options options =
        new OptionsBuilder()
            .include(DecisionBenchmark.class.getName())
            .forks(1)
            .warmupIterations(WARMUPS)
            .warmupTime(ITERATION)
            .measurementIterations(MEASURED)
            .measurementTime(ITERATION)
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

  /** Compares the heap after two runs of different length whose decisions are all remembered. */
  private static void printMemory(PrintStream out) {
    long small = heapAfter(SMALL_RUN);
    long large = heapAfter(LARGE_RUN);
    double bytes = (double) (large - small) / (LARGE_RUN - SMALL_RUN);
    out.println("| heap | bytes |");
    out.println("|---|---|");
    out.printf(Locale.ROOT, "| after %d requests | %d |%n", SMALL_RUN, small);
    out.printf(Locale.ROOT, "| after %d requests | %d |%n", LARGE_RUN, large);
    out.printf(Locale.ROOT, "| each remembered request | %.0f |%n%n", bytes);
  }

  private static long heapAfter(int requests) {
    long before = usedHeap();
    SchedulerLoad load = SchedulerLoad.of(64, 1_000);
    load.fillMemory(0.5);
    for (int count = 0; count < requests; count++) {
      load.turn();
    }
    long after = usedHeap();
    return load.scheduler().activePlacements() > 0 ? after - before : 0;
  }

  private static long usedHeap() {
    for (int count = 0; count < 3; count++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
