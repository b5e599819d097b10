package org.knapweedcleat.core.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.RequestLimits;

class CallerLimitsTest {

  private static final RequestLimits PUBLISHED =
      new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

  /** Load: one request of the most lines and chunks that the published limits allow. */
  @Test
  void defaultsAreNotReachedInsideThePublishedLimits() {
    SyntaxLimits limits = SyntaxLimits.of(CallerLimits.DEFAULT, PUBLISHED);

    assertThat(limits.maxHeaderLines(), is(8_192));
    assertThat(limits.maxChunks(), is(4_194_304L));
    assertThat(limits.maxChunkOverheadBytes(), greaterThan(5L * 4_194_304));
  }

  /** Load: requests up to a limit that a configuration has raised. */
  @Test
  void defaultsFollowThePublishedLimits() {
    RequestLimits raised = new RequestLimits(32_768, 8_388_608, 3_000, 15_000);

    assertThat(SyntaxLimits.of(CallerLimits.DEFAULT, raised).maxHeaderLines(), is(16_384));
    assertThat(SyntaxLimits.of(CallerLimits.DEFAULT, raised).maxChunks(), is(8_388_608L));
  }

  /** Load: many connections to the smallest instance, which has 2,069 descriptors. */
  @Test
  void connectionsLeaveDescriptorsForEndpointsAndPeers() {
    long budgetBytes = CallerLimits.DEFAULT.memoryBytes(110L * 1_048_576);

    assertThat(CallerLimits.DEFAULT.connections(2_069, budgetBytes), is(1_241));
  }

  /** Load: many idle connections to an instance with a small heap. */
  @Test
  void connectionsTakeNoMoreThanOneQuarterOfTheMemory() {
    assertThat(CallerLimits.DEFAULT.connections(20_000, 9_216 * 400), is(100));
  }
}
