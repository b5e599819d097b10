package org.knapweedcleat.core.locality;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

class DepartureControllerTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final FailureDomainId HOME = FailureDomainId.of("a");
  private static final FailureDomainId BESIDE = FailureDomainId.of("b");
  private static final FailureDomainId FAR = FailureDomainId.of("z");
  private static final long REPORT_LIFETIME_MILLIS = 2_500;
  private static final double PRICE_MILLIS = 100;
  private static final double NO_CAPACITY = Double.POSITIVE_INFINITY;

  private final List<FractionChange> changes = new ArrayList<>();
  private final LinkBudget link = LinkBudget.of(800, () -> 1);
  private final DepartureController controller =
      DepartureController.of(
          REPORT_LIFETIME_MILLIS,
          link,
          new LocalityListener() {
            @Override
            public void onFractionChange(FractionChange change) {
              changes.add(change);
            }

            @Override
            public void onCall(ServiceId service, FailureDomainId home, FailureDomainId chosen) {}
          });

  /** Guards against calls that leave for the small differences of ordinary operation. */
  @Test
  void unequalLoadWithinHalfOfThePriceKeepsAllCalls() {
    for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 20) {
      assertThat(decide(nowMillis, 45, beside(0)).fraction(), is(0.0));
    }
  }

  /** Guards against a fraction that oscillates with each difference of the waits. */
  @Test
  void wavesOfDemandOutOfStepChangeTheFractionFewTimes() {
    double largest = 0;
    double smallest = 1;
    for (long nowMillis = 0; nowMillis < 170_000; nowMillis += 20) {
      double phase = 2 * Math.PI * nowMillis / 17_000;
      double ripple = nowMillis % 40 == 0 ? 15 : -15;
      double homeWaitMillis = Math.max(0, 60 + 110 * Math.sin(phase) + ripple);
      double elsewhereWaitMillis = Math.max(0, 60 - 110 * Math.sin(phase) + ripple);
      double fraction = decide(nowMillis, homeWaitMillis, beside(elsewhereWaitMillis)).fraction();
      if (nowMillis >= 17_000) {
        largest = Math.max(largest, fraction);
        smallest = Math.min(smallest, fraction);
      }
    }

    assertThat(largest, is(1.0));
    assertThat(smallest, is(0.0));
    assertThat(changes.size(), lessThanOrEqualTo(10 * 8));
  }

  /** Guards against calls that all leave, return and leave again because leaving relieves home. */
  @Test
  void steadyOverloadThatLeavingRelievesSettles() {
    double fraction = 0;
    for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
      fraction = decide(nowMillis, 150 - 120 * fraction, beside(20)).fraction();
      if (nowMillis == 10_000) {
        changes.clear();
      }
    }

    assertThat(fraction, greaterThan(0.0));
    assertThat(fraction, lessThan(1.0));
    assertThat(changes, is(List.of()));
  }

  @Test
  void shortSpikeKeepsAllCalls() {
    decide(0, 10, beside(10));
    for (long nowMillis = 10_000; nowMillis < 10_060; nowMillis += 5) {
      decide(nowMillis, 400, beside(10));
    }

    assertThat(decide(10_065, 10, beside(10)).fraction(), is(0.0));
    assertThat(changes, is(List.of()));
  }

  /** Guards against calls that wait for the hysteresis while no endpoint is left. */
  @Test
  void domainThatLosesItsEnginesSendsEverythingAtOnce() {
    decide(0, 10, beside(10));

    Departure departure =
        controller.decide(20, SERVICE, HOME, OptionalDouble.empty(), List.of(beside(300), far(10)));

    assertThat(departure, is(new Departure(1, Set.of(BESIDE, FAR))));
    assertThat(changes.get(0).fraction(), is(1.0));
  }

  @Test
  void callsReturnGraduallyToDomainThatHasEnginesAgain() {
    controller.decide(0, SERVICE, HOME, OptionalDouble.empty(), List.of(beside(10)));

    assertThat(decide(50, 0, beside(10)).fraction(), is(1.0));
    for (long nowMillis = 100; nowMillis < 6_000; nowMillis += 50) {
      decide(nowMillis, 0, beside(10));
    }
    assertThat(decide(6_000, 0, beside(10)).fraction(), is(0.0));
  }

  /** Guards against a call that is refused for the sake of its domain. */
  @Test
  void callThatFindsNoCapacityAtHomeMayLeaveAtOnce() {
    assertThat(decide(0, NO_CAPACITY, beside(300)), is(new Departure(1, Set.of(BESIDE))));
  }

  /** Guards against a silent domain that seems idle and attracts all calls. */
  @Test
  void missingReportsAttractNoCalls() {
    for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 20) {
      RemoteDomain silent = remote(BESIDE, 0, OptionalLong.empty());
      assertThat(decide(nowMillis, 500, silent).fraction(), is(0.0));
    }
  }

  @Test
  void oldReportsAttractNoCalls() {
    for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 20) {
      RemoteDomain silent = remote(BESIDE, 0, OptionalLong.of(REPORT_LIFETIME_MILLIS + 1));
      assertThat(decide(nowMillis, 500, silent).fraction(), is(0.0));
    }
  }

  @Test
  void silentDomainServesCallsThatNoOtherCan() {
    RemoteDomain silent = remote(FAR, 0, OptionalLong.empty());

    assertThat(decide(0, NO_CAPACITY, beside(10), silent).destinations(), is(Set.of(BESIDE)));
    assertThat(
        decide(20, NO_CAPACITY, beside(NO_CAPACITY), silent).destinations(), is(Set.of(FAR)));
  }

  @Test
  void callsLeaveOnlyForDomainsWhereThatPays() {
    assertThat(decide(0, 200, beside(10), far(10)).destinations(), is(Set.of(BESIDE)));
    assertThat(decide(20, 600, beside(10), far(10)).destinations(), is(Set.of(BESIDE, FAR)));
  }

  /** Guards against a full link between regions that delays everything sent over it. */
  @Test
  void fullLinkBetweenRegionsKeepsCallsInTheRegion() {
    assertThat(decide(0, 900, far(0)).destinations(), is(Set.of(FAR)));
    link.charge(0, 150_000);

    assertThat(decide(20, 900, beside(10), far(0)).destinations(), is(Set.of(BESIDE)));
    assertThat(decide(40, 900, far(0)).destinations(), is(Set.of()));
  }

  /** Guards against a call that is refused because the link is full. */
  @Test
  void fullLinkBetweenRegionsStillServesCallsThatTheRegionCannot() {
    link.charge(0, 150_000);

    assertThat(decide(20, NO_CAPACITY, far(0)).destinations(), is(Set.of(FAR)));
  }

  @Test
  void changeTellsItsInputs() {
    decide(0, 10, beside(10));
    controller.decide(
        20,
        SERVICE,
        HOME,
        OptionalDouble.empty(),
        List.of(remote(BESIDE, 30, OptionalLong.of(700)), far(10)));

    FractionChange change = changes.get(0);
    assertThat(change.previous(), is(0.0));
    assertThat(change.elsewhereMillis(), closeTo(33, 0.001));
    assertThat(change.reportAgeMillis(), is(OptionalLong.of(700)));
  }

  private Departure decide(long nowMillis, double homeWaitMillis, RemoteDomain... remoteDomains) {
    return controller.decide(
        nowMillis, SERVICE, HOME, OptionalDouble.of(homeWaitMillis), List.of(remoteDomains));
  }

  private static RemoteDomain beside(double waitMillis) {
    return remote(BESIDE, waitMillis, OptionalLong.of(200));
  }

  private static RemoteDomain far(double waitMillis) {
    return new RemoteDomain(FAR, waitMillis, 65, 3 * PRICE_MILLIS, true, OptionalLong.of(200));
  }

  private static RemoteDomain remote(
      FailureDomainId domain, double waitMillis, OptionalLong reportAgeMillis) {
    return new RemoteDomain(domain, waitMillis, 3, PRICE_MILLIS, false, reportAgeMillis);
  }
}
