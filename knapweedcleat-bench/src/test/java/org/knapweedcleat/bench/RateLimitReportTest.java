package org.knapweedcleat.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RateLimitReportTest {

  @Test
  void sameSeedPrintsSameReport() {
    String first = print(7);
    assertThat(first, containsString("fixed 1/N"));
    assertThat(print(7), is(first));
  }

  private static String print(long seed) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    RateLimitReport.print(out, seed);
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
