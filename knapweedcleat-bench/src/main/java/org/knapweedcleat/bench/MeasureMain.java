package org.knapweedcleat.bench;

import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.openjdk.jmh.runner.RunnerException;

/** Simulates scenarios in virtual time and prints the measurements. */
public final class MeasureMain {

  private static final int USAGE_STATUS = 2;

  @Argument(metaVar = "SCENARIO", usage = "a scenario, all, limits or cost", required = true)
  private String scenario;

  @Option(name = "--seed", metaVar = "N", usage = "seed of the random generators (default 1)")
  private long seed = 1;

  private MeasureMain() {}

  /**
   * Runs the measurement that the command line selects.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    MeasureMain main = new MeasureMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      main.run();
    } catch (RunnerException e) {
      throw new IllegalStateException(e);
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.err.print("usage: ./measure");
      parser.printSingleLineUsage(System.err);
      System.err.println();
      System.exit(USAGE_STATUS);
    }
  }

  private void run() throws RunnerException {
    if (scenario.equals("cost")) {
      DecisionCostReport.print(System.out);
      return;
    }
    if (scenario.equals("limits")) {
      RateLimitReport.print(System.out, seed);
      return;
    }
    scenarios().forEach(each -> ScenarioReport.print(System.out, each, seed));
  }

  private List<Scenario> scenarios() {
    return scenario.equals("all") ? List.of(Scenario.values()) : List.of(Scenario.parse(scenario));
  }
}
