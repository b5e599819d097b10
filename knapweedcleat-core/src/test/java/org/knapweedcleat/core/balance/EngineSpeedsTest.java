package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.ServiceId;

/** One of six engines is slow, or only seems to be. */
class EngineSpeedsTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final double STEP_MILLIS = 45;
  private static final long NOW_MILLIS = 50_000;

  private final List<SpeedChange> changes = new ArrayList<>();
  private final EngineSpeeds speeds = EngineSpeeds.create(changes::add);
  private final List<EndpointEntry> engines = new ArrayList<>();

  EngineSpeedsTest() {
    for (int i = 0; i < 6; i++) {
      engines.add(engine("e" + i));
    }
  }

  @Test
  void engineWithLongerStepsHasItsRatioToTheMedian() {
    observeAll(NOW_MILLIS, 6, 2.5);

    assertThat(factor(NOW_MILLIS, 0), is(closeTo(2.5, 0.01)));
    for (int i = 1; i < engines.size(); i++) {
      assertThat(factor(NOW_MILLIS, i), is(1.0));
    }
    assertThat(changes.size(), is(1));
    assertThat(changes.get(0).slow(), is(true));
    assertThat(changes.get(0).observations(), is(6));
  }

  @Test
  void fasterEngineHasFactorBelowOneAndIsNotSlow() {
    observeAll(NOW_MILLIS, 6, 0.5);

    assertThat(factor(NOW_MILLIS, 0), is(closeTo(0.5, 0.01)));
    assertThat(speeds.isSlow(NOW_MILLIS, engines.get(0)), is(false));
    assertThat(changes, is(empty()));
  }

  /** Guards against a changed placement in services whose engines differ by a few in a hundred. */
  @Test
  void engineWithinFactorOfMedianIsExactlyEqual() {
    observeAll(NOW_MILLIS, 8, 1.29);

    assertThat(factor(NOW_MILLIS, 0), is(1.0));
  }

  @Test
  void fewObservationsDoNotCount() {
    observeAll(NOW_MILLIS, 4, 3);

    assertThat(factor(NOW_MILLIS, 0), is(1.0));
  }

  /** Guards against a pause of a link or of this instance that makes an engine slow. */
  @Test
  void singleDelayOfSomeHundredMillisecondsChangesNothing() {
    observeAll(NOW_MILLIS, 8, 1);
    speeds.record(NOW_MILLIS, engines.get(0), SpeedMeasure.STEP, STEP_MILLIS + 400);

    assertThat(factor(NOW_MILLIS, 0), is(1.0));
  }

  /** Guards against random queues at equal engines, which this instance does not know of. */
  @Test
  void randomDelaysOfEqualEnginesChangeNothing() {
    Random random = new Random(3);
    for (long nowMillis = 0; nowMillis < 600_000; nowMillis += 250) {
      for (EndpointEntry engine : engines) {
        boolean isDelayed = random.nextInt(5) == 0;
        speeds.record(
            nowMillis,
            engine,
            SpeedMeasure.STEP,
            STEP_MILLIS * (0.9 + 0.2 * random.nextDouble()) + (isDelayed ? 300 : 0));
      }
      speeds.tick(nowMillis);
    }

    assertThat(changes, is(empty()));
  }

  @Test
  void estimateExpiresWithoutNewObservations() {
    observeAll(NOW_MILLIS, 6, 2);
    assertThat(factor(NOW_MILLIS + 10_000, 0), is(closeTo(2, 0.01)));

    speeds.tick(NOW_MILLIS + 10_501);

    assertThat(factor(NOW_MILLIS + 10_501, 0), is(1.0));
    assertThat(changes.get(1).slow(), is(false));
    assertThat(changes.get(1).ageMillis(), is(10_501L));
  }

  @Test
  void recoveredEngineIsEqualAgainAfterFewCalls() {
    observeAll(NOW_MILLIS, 8, 2);
    assertThat(factor(NOW_MILLIS, 0), is(closeTo(2, 0.01)));

    for (int i = 1; i <= 6; i++) {
      observeAll(NOW_MILLIS + i * 600, 1, 1);
    }

    assertThat(factor(NOW_MILLIS + 3_600, 0), is(1.0));
    assertThat(changes.get(1).slow(), is(false));
  }

  /** Guards against a frozen or distant instance that sees all engines as slow. */
  @Test
  void slownessThatAnInstanceSeesOfAllEnginesCancelsOut() {
    observeAll(NOW_MILLIS, 8, 1);
    for (int source = 0; source < 10; source++) {
      for (int i = 0; i < 4; i++) {
        report(source, i, STEP_MILLIS * 5);
      }
    }

    for (int i = 0; i < engines.size(); i++) {
      assertThat(factor(NOW_MILLIS, i), is(1.0));
    }
  }

  /** Guards against one instance that reports false values, however many observations it claims. */
  @Test
  void reportOfOneInstanceDecidesNothing() {
    report(0, 0, 1_000);
    for (int i = 1; i < engines.size(); i++) {
      report(0, i, 1);
    }
    assertThat(factor(NOW_MILLIS, 0), is(1.0));

    for (int source = 1; source < 6; source++) {
      for (int i = 0; i < engines.size(); i++) {
        report(source, i, STEP_MILLIS);
      }
    }
    assertThat(factor(NOW_MILLIS + 500, 0), is(1.0));
  }

  /** In a large fleet each instance has few streams, which run at two or three engines. */
  @Test
  void instancesThatSawTwoEnginesEachFindTheSlowOne() {
    for (int source = 0; source < 15; source++) {
      int one = source % engines.size();
      int other = (source + 1 + source / engines.size()) % engines.size();
      report(source, one, STEP_MILLIS * (one == 0 ? 2.5 : 1) * (1 + source * 0.1));
      report(source, other, STEP_MILLIS * (other == 0 ? 2.5 : 1) * (1 + source * 0.1));
    }

    assertThat(factor(NOW_MILLIS, 0), is(closeTo(2.5, 0.25)));
    for (int i = 1; i < engines.size(); i++) {
      assertThat(factor(NOW_MILLIS, i), is(1.0));
    }
  }

  @Test
  void endedInstanceNoLongerCounts() {
    for (int source = 0; source < 3; source++) {
      for (int i = 0; i < engines.size(); i++) {
        report(source, i, STEP_MILLIS * (i == 0 ? 2 : 1));
      }
    }
    assertThat(factor(NOW_MILLIS, 0), is(closeTo(2, 0.01)));
    for (int source = 0; source < 3; source++) {
      speeds.forget(instance(source));
    }

    assertThat(factor(NOW_MILLIS + 500, 0), is(1.0));
  }

  @Test
  void impossibleReportsAreIgnored() {
    for (double millis : new double[] {Double.NaN, 0, -1, Double.POSITIVE_INFINITY}) {
      report(0, 0, millis);
    }
    speeds.recordReport(
        NOW_MILLIS,
        instance(0),
        new SpeedReport(
            SERVICE, engines.get(0).id(), SpeedMeasure.STEP, 10, 1, NOW_MILLIS + 1_000));
    speeds.tick(NOW_MILLIS);

    assertThat(changes, is(empty()));
  }

  @Test
  void onlyEnginesWithNewObservationsAreReportedLatestFirst() {
    speeds.record(NOW_MILLIS, engines.get(0), SpeedMeasure.STEP, 40);
    speeds.record(NOW_MILLIS + 1, engines.get(1), SpeedMeasure.STEP, 50);
    speeds.record(NOW_MILLIS + 2, engines.get(2), SpeedMeasure.STEP, 60);
    report(0, 3, 40);

    assertThat(reportedEngines(2), containsInAnyOrder("e1", "e2"));
    assertThat(reportedEngines(2), containsInAnyOrder("e0"));
    assertThat(reportedEngines(2), is(empty()));
    speeds.record(NOW_MILLIS + 3, engines.get(1), SpeedMeasure.STEP, 50);
    assertThat(reportedEngines(2), containsInAnyOrder("e1"));
  }

  /** Guards against prompts that pause the streams of an engine known by its steps to be slow. */
  @Test
  void stepsStandInForPrefillAtDecodeEngines() {
    observeAll(NOW_MILLIS, 6, 2);

    assertThat(speeds.prefillFactor(NOW_MILLIS, engines.get(0)), is(greaterThan(1.9)));
    assertThat(speeds.meanStepSpeed(NOW_MILLIS, engines), is(closeTo(5.5 / 6, 0.001)));
  }

  private List<String> reportedEngines(int limit) {
    return speeds.takeReports(NOW_MILLIS + 4, limit).stream()
        .map(report -> report.engine().value())
        .toList();
  }

  private void observeAll(long nowMillis, int observations, double slowFactor) {
    for (int i = 0; i < observations; i++) {
      for (EndpointEntry engine : engines) {
        double factor = engine == engines.get(0) ? slowFactor : 1;
        speeds.record(nowMillis, engine, SpeedMeasure.STEP, STEP_MILLIS * factor);
      }
    }
    speeds.tick(nowMillis);
  }

  private void report(int source, int engine, double millis) {
    speeds.recordReport(
        NOW_MILLIS,
        instance(source),
        new SpeedReport(
            SERVICE, engines.get(engine).id(), SpeedMeasure.STEP, millis, 1_000, NOW_MILLIS));
  }

  private double factor(long nowMillis, int engine) {
    return speeds.stepFactor(nowMillis, engines.get(engine));
  }

  private static IncarnationId instance(int number) {
    return IncarnationId.of(InstanceId.of("front-" + number), 1);
  }

  private static EndpointEntry engine(String id) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        SERVICE,
        "127.0.0.1",
        9000,
        FailureDomainId.of("a"),
        EndpointStage.DECODE,
        64,
        false);
  }
}
