package org.knapweedcleat.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ScenarioReportTest {

  @Test
  void sameSeedPrintsSameReport() {
    String first = print(7);
    assertThat(first, containsString("current policy"));
    assertThat(print(7), is(first));
  }

  @Test
  void differentSeedGeneratesDifferentRequests() {
    assertThat(generate(8), is(not(generate(7))));
  }

  private static List<Arrival> generate(long seed) {
    return WorkloadGenerator.generate(BenchmarkFleet.school(), Scenario.SCHOOL_PEAK, seed, false);
  }

  private static String print(long seed) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    ScenarioReport.print(out, Scenario.ENGINE_LOST, seed);
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
