package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.id.EndpointId;

class PermitIssuerTest {

  private final PermitIssuer issuer = PermitIssuer.create();
  private final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("e-1"), 1);

  @Test
  void issuesNothingAtFirst() {
    assertThat(request(0, 2, 0), is(PermitDecision.denied(PermitIssuer.INITIAL_HOLD_MILLIS)));
    assertThat(
        request(0, 2, PermitIssuer.INITIAL_HOLD_MILLIS),
        is(PermitDecision.granted(PermitIssuer.INITIAL_HOLD_MILLIS)));
  }

  @Test
  void spacesPermitsEvenly() {
    request(0, 2, 500);

    assertThat(request(600, 2, 0), is(PermitDecision.denied(400)));
    assertThat(request(600, 2, 400), is(PermitDecision.granted(400)));
    assertThat(request(600, 2, 899), is(PermitDecision.denied(900)));
  }

  @Test
  void unusedTimeIsCreditedToLimitedExtent() {
    request(0, 10, 500);

    assertThat(request(10_000, 10, 0), is(PermitDecision.granted(0)));
    assertThat(request(10_000, 10, 0), is(PermitDecision.granted(0)));
    assertThat(request(10_000, 10, 0), is(PermitDecision.granted(0)));
    assertThat(request(10_000, 10, 0), is(PermitDecision.denied(100)));
  }

  @Test
  void raisedLimitAppliesAtOnce() {
    request(0, 0.1, 500);
    assertThat(request(1_000, 0.1, 0), is(PermitDecision.denied(9_500)));

    assertThat(request(1_000, 4, 0), is(PermitDecision.granted(0)));
  }

  @Test
  void limitOfZeroStillProbes() {
    request(0, 0, 500);

    assertThat(request(10_500, 0, 0).granted(), is(true));
    assertThat(request(10_500, 0, 0).granted(), is(false));
  }

  /** Random requests never get more than the rate, the credited time and one permit in a window. */
  @Test
  void permitsOfAnyWindowStayWithinRate() {
    Random random = new Random(20_261_204);
    for (int run = 0; run < 200; run++) {
      PermitIssuer fresh = PermitIssuer.create();
      double rate = 0.5 + 20 * random.nextDouble();
      List<Long> permits = new ArrayList<>();
      long nowMillis = 0;
      while (nowMillis < 30_000) {
        nowMillis += random.nextInt(200);
        long patienceMillis = random.nextInt(400);
        PermitDecision decision = fresh.request(nowMillis, endpoint, rate, patienceMillis);
        if (decision.granted()) {
          permits.add(nowMillis + decision.delayMillis());
        }
      }
      permits.sort(null);
      assertThat(mostInWindow(permits, 4_000), lessThanOrEqualTo((int) (rate * 4.2) + 1));
    }
  }

  private static int mostInWindow(List<Long> permits, long windowMillis) {
    int most = 0;
    for (int first = 0, next = 0; first < permits.size(); first++) {
      while (next < permits.size() && permits.get(next) - permits.get(first) < windowMillis) {
        next++;
      }
      most = Math.max(most, next - first);
    }
    return most;
  }

  private PermitDecision request(long nowMillis, double rate, long maxDelayMillis) {
    return issuer.request(nowMillis, endpoint, rate, maxDelayMillis);
  }
}
