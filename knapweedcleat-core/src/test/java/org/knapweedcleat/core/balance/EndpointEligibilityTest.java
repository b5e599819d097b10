package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.DomainEvacuations;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RegionRestriction;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;

/** Calls for endpoints of which some are evacuated, returning, paused or in other regions. */
class EndpointEligibilityTest {

  private static final FailureDomainId NEAR = FailureDomainId.of("near");
  private static final FailureDomainId FAR = FailureDomainId.of("far");
  private static final String REQUEST = "id-1";

  private final DomainEvacuations evacuations = DomainEvacuations.create();
  private final EndpointAvailability availability = EndpointAvailability.create();
  private final EndpointEligibility eligibility =
      EndpointEligibility.of(
          DomainTopology.of(NEAR, Map.of(NEAR, RegionId.of("r1"), FAR, RegionId.of("r2"))),
          evacuations,
          availability);
  private final EndpointEntry near = entry("e-near", NEAR, EndpointStage.DECODE);
  private final EndpointEntry far = entry("e-far", FAR, EndpointStage.DECODE);
  private final List<EndpointEntry> both = List.of(near, far);

  @Test
  void allEndpointsAreEligibleAtFirst() {
    assertThat(eligible(0, both), is(both));
  }

  @Test
  void endpointOfEvacuatedDomainIsNotEligible() {
    evacuate(0, NEAR, true, 1);

    assertThat(eligible(0, both), contains(far));
    assertThat(check(0, near), is(Eligibility.not(IneligibilityReason.EVACUATED)));
  }

  /** Guards against calls that wait for an evacuation, whose end is unknown. */
  @Test
  void refusalByEvacuationHasNoTime() {
    evacuate(0, NEAR, true, 1);

    EndpointEligibility.Refusal refusal =
        eligibility.explain(0, List.of(near), RegionRestriction.NONE, REQUEST);

    assertThat(refusal.reasons(), is(Set.of(IneligibilityReason.EVACUATED)));
    assertThat(refusal.opensInMillis(), is(OptionalLong.empty()));
  }

  @Test
  void refusalNamesAllReasonsAndFirstTime() {
    evacuate(0, FAR, true, 1);
    availability.markUnavailable(0, near, 300, IneligibilityReason.COLD);

    EndpointEligibility.Refusal refusal =
        eligibility.explain(100, both, RegionRestriction.NONE, REQUEST);

    assertThat(
        refusal.reasons(), is(Set.of(IneligibilityReason.EVACUATED, IneligibilityReason.COLD)));
    assertThat(refusal.opensInMillis(), is(OptionalLong.of(200)));
  }

  @Test
  void returningDomainIsLeftOutWhileOthersServe() {
    evacuate(0, NEAR, true, 1);
    evacuate(0, NEAR, false, 2);

    assertThat(check(0, near).reason(), is(Optional.of(IneligibilityReason.RETURNING)));
    assertThat(eligible(0, both), contains(far));
    assertThat(eligible(DomainEvacuations.RETURN_MILLIS, both), is(both));
  }

  /** Guards against refusals while the only endpoints that can run the call are returning. */
  @Test
  void returningDomainServesIfNoOtherCan() {
    evacuate(0, NEAR, true, 1);
    evacuate(0, NEAR, false, 2);
    EndpointEntry farPrefill = entry("p-far", FAR, EndpointStage.PREFILL);

    assertThat(eligible(0, List.of(near)), contains(near));
    assertThat(eligible(0, List.of(farPrefill, near)), contains(farPrefill, near));
    availability.markPaused(0, far, 1_000);
    assertThat(eligible(0, both), contains(near));
  }

  @Test
  void endpointOfOtherRegionIsNotEligible() {
    ForwardRoute route =
        new ForwardRoute(
            "r",
            "h",
            "/",
            CallKind.SAFE,
            false,
            true,
            1_000,
            1_000,
            0,
            1,
            0,
            List.of(new ServiceShare(ServiceId.of("desk"), 1)),
            Set.of(RegionId.of("r2")));
    RegionRestriction restriction = RegionRestriction.of(route, Optional.empty());

    assertThat(eligibility.eligible(0, both, restriction, REQUEST), contains(far));
    assertThat(
        eligibility.explain(0, List.of(near), restriction, REQUEST).reasons(),
        is(Set.of(IneligibilityReason.REGION_NOT_ALLOWED)));
  }

  @Test
  void pausedAndLeavingEndpointsAreNotEligible() {
    availability.markPaused(0, near, 50);
    availability.markLeaving(far);

    assertThat(eligible(0, both), empty());
    assertThat(check(0, near), is(Eligibility.notYet(IneligibilityReason.PAUSED, 50)));
    assertThat(check(0, far), is(Eligibility.not(IneligibilityReason.LEAVING)));
  }

  private Eligibility check(long nowMillis, EndpointEntry endpoint) {
    return eligibility.check(nowMillis, endpoint, RegionRestriction.NONE, REQUEST);
  }

  private List<EndpointEntry> eligible(long nowMillis, List<EndpointEntry> endpoints) {
    return eligibility.eligible(nowMillis, endpoints, RegionRestriction.NONE, REQUEST);
  }

  private void evacuate(long nowMillis, FailureDomainId domain, boolean evacuated, long revision) {
    evacuations.apply(
        nowMillis, new DomainEvacuations.Change(domain, evacuated, StorePosition.of(1, revision)));
  }

  private static EndpointEntry entry(String id, FailureDomainId domain, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id), 1, ServiceId.of("desk"), "10.0.0.1", 80, domain, stage, 6, false);
  }
}
