package org.knapweedcleat.router.forward.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.SpeedChange;
import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

class EngineSpeedLogTest {

  private final MetricRegistry metrics = new MetricRegistry();
  private final EngineSpeedLog log = EngineSpeedLog.of(DecisionLog.of(() -> 0, metrics), metrics);

  /** Guards against an engine that is counted twice because both its prompts and steps are slow. */
  @Test
  void countsSlowEnginesByService() {
    log.onChange(change("one", SpeedMeasure.STEP, true));
    log.onChange(change("one", SpeedMeasure.LOCAL_PREFILL, true));
    log.onChange(change("two", SpeedMeasure.STEP, true));
    assertThat(slowEngines(), is(2L));

    log.onChange(change("one", SpeedMeasure.STEP, false));
    assertThat(slowEngines(), is(2L));
    log.onChange(change("one", SpeedMeasure.LOCAL_PREFILL, false));
    assertThat(slowEngines(), is(1L));
  }

  private Object slowEngines() {
    return metrics.getGauges().get("engines.slow.notes").getValue();
  }

  private static SpeedChange change(String engine, SpeedMeasure measure, boolean slow) {
    return new SpeedChange(
        ServiceId.of("notes"), EndpointId.of(engine), measure, slow, slow ? 2 : 1, 8, 100);
  }
}
