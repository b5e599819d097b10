package org.knapweedcleat.router.forward.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.locality.FractionChange;

class LocalityLogTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final FailureDomainId HOME = FailureDomainId.of("a");

  private final MetricRegistry metrics = new MetricRegistry();
  private final LocalityLog log = LocalityLog.of(DecisionLog.of(() -> 0, metrics), metrics);

  @Test
  void countsCallsKeptAndSentByService() {
    log.onCall(SERVICE, HOME, HOME);
    log.onCall(SERVICE, HOME, FailureDomainId.of("b"));
    log.onCall(SERVICE, HOME, HOME);

    assertThat(metrics.counter("locality.kept.notes").getCount(), is(2L));
    assertThat(metrics.counter("locality.sent.notes").getCount(), is(1L));
  }

  /** Guards against a gauge that is registered twice or keeps the first fraction. */
  @Test
  void showsFractionInForce() {
    log.onFractionChange(change(0, 0.25));
    log.onFractionChange(change(0.25, 1));

    assertThat(metrics.getGauges().get("locality.fraction.notes.a").getValue(), is(1.0));
  }

  private static FractionChange change(double previous, double fraction) {
    return new FractionChange(
        SERVICE, HOME, previous, fraction, Double.POSITIVE_INFINITY, 10, OptionalLong.of(200));
  }
}
