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

class ReportTest {

  @Test
  void printsTheSameFiguresForTheSameSeed() {
    String first = print(7);
    assertThat(first, containsString("current policy"));
    assertThat(print(7), is(first));
  }

  @Test
  void drawsOtherRequestsForAnotherSeed() {
    assertThat(draw(8), is(not(draw(7))));
  }

  private static List<Arrival> draw(long seed) {
    return Workload.draw(BenchFleet.school(), Scenario.SCHOOL_PEAK, seed, false);
  }

  private static String print(long seed) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    Report.print(out, Scenario.ENGINE_LOST, seed);
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
