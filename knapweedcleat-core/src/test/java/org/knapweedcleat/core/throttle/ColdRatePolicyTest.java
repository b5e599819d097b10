package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.id.EndpointId;

/** A cold endpoint for which far more calls arrive than it can take. */
class ColdRatePolicyTest {

  private static final long WINDOW_MILLIS = 1_000;

  @Test
  void serviceWithoutColdRateHasNoLimit() {
    assertThat(ColdRatePolicy.of(1.5, 5).requestsPerSecond(0), is(OptionalDouble.empty()));
  }

  @Test
  void rateIsThatOfTheServiceWithinUsualTolerance() {
    assertThat(ColdRatePolicy.of(1.5, 5).requestsPerSecond(20), is(OptionalDouble.of(20)));
  }

  /** Guards against permits for unused time that exceed what an endpoint tolerates. */
  @ParameterizedTest
  @CsvSource({"2, 1.5, 5", "20, 1.5, 5", "20, 1, 1", "100, 1, 5", "3, 1, 1", "40, 1.1, 2"})
  void permitsOfAnySecondStayWithinTolerance(double coldPerSecond, double overage, double slack) {
    double rate = ColdRatePolicy.of(overage, slack).requestsPerSecond(coldPerSecond).getAsDouble();
    PermitIssuer issuer = PermitIssuer.create();
    EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("e-1"), 1);
    Random random = new Random(20261206);
    List<Long> sends = new ArrayList<>();
    for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 1 + random.nextInt(10)) {
      if (random.nextInt(400) == 0) {
        nowMillis += 1_500;
      }
      PermitDecision decision = issuer.request(nowMillis, endpoint, rate, random.nextInt(400));
      if (decision.granted()) {
        sends.add(nowMillis + decision.delayMillis());
      }
    }

    assertThat((double) mostInWindow(sends), lessThanOrEqualTo(coldPerSecond * overage + slack));
  }

  private static int mostInWindow(List<Long> sends) {
    List<Long> sorted = sends.stream().sorted().toList();
    int most = 0;
    for (int first = 0, next = 0; first < sorted.size(); first++) {
      while (next < sorted.size() && sorted.get(next) - sorted.get(first) < WINDOW_MILLIS) {
        next++;
      }
      most = Math.max(most, next - first);
    }
    return most;
  }
}
