package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.locality.LinkBudget;
import org.knapweedcleat.core.locality.LocalityListener;

class HomeDomainFilterTest {

  private static final EngineProfile PROFILE = new EngineProfile(64, 34_000, 500, 13);
  private static final StreamRequirements REQUIREMENTS =
      new StreamRequirements(3_000, 3_300, true, Set.of(), 0.93, false, 0);
  private static final FailureDomainId HOME = FailureDomainId.of("home");
  private static final FailureDomainId BESIDE = FailureDomainId.of("beside");
  private static final FailureDomainId FAR = FailureDomainId.of("far");
  private static final DomainTopology TOPOLOGY =
      DomainTopology.of(
          HOME, Map.of(HOME, RegionId.of("r1"), BESIDE, RegionId.of("r1"), FAR, RegionId.of("r2")));

  private final Random random = new Random(20261206);
  private final WorkloadTracker workload = WorkloadTracker.of(1_000);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final Map<FailureDomainId, Long> reportAgesMillis =
      new HashMap<>(Map.of(BESIDE, 100L, FAR, 100L));
  private final LinkBudget link = LinkBudget.of(800, () -> 1);
  private final EndpointSelector selector =
      EndpointSelector.of(
          TOPOLOGY, workload, health, random::nextDouble, Optional.of(filter(random)));

  private final EndpointEntry homePlain = endpoint("w-home", HOME, EndpointStage.WHOLE);
  private final EndpointEntry besidePlain = endpoint("w-beside", BESIDE, EndpointStage.WHOLE);
  private final EndpointEntry farPlain = endpoint("w-far", FAR, EndpointStage.WHOLE);
  private final List<EndpointEntry> plain = List.of(homePlain, besidePlain, farPlain);

  private final EndpointEntry homePrefill = endpoint("p-home", HOME, EndpointStage.PREFILL);
  private final EndpointEntry homeDecode = endpoint("d-home", HOME, EndpointStage.DECODE);
  private final EndpointEntry besidePrefill = endpoint("p-beside", BESIDE, EndpointStage.PREFILL);
  private final EndpointEntry besideDecode = endpoint("d-beside", BESIDE, EndpointStage.DECODE);
  private final List<EndpointEntry> engines =
      List.of(homePrefill, homeDecode, besidePrefill, besideDecode);

  private HomeDomainFilter filter(Random source) {
    return HomeDomainFilter.of(
        50,
        2_500,
        link,
        (nowMillis, domain) ->
            reportAgesMillis.containsKey(domain)
                ? OptionalLong.of(reportAgesMillis.get(domain))
                : OptionalLong.empty(),
        LocalityListener.NONE,
        source::nextDouble);
  }

  /** Guards against random variation that sends calls elsewhere at equal load. */
  @Test
  void plainCallsStayAtHomeAtEqualLoad() {
    plain.forEach(entry -> workload.addLocal(entry.id(), new EndpointWorkload(5, 0, 0)));

    assertThat(selections(0, 500, homePlain), is(500L));
  }

  @Test
  void plainCallsLeaveForTheDomainBesideWhenHomeIsOverloaded() {
    workload.addLocal(homePlain.id(), new EndpointWorkload(18, 0, 0));

    selections(0, 200, homePlain);
    assertThat(selections(4_000, 200, besidePlain), is(200L));
  }

  @Test
  void plainCallsLeaveAtOnceWhenAllEndpointsAtHomeFail() {
    health.get(homePlain.id()).markUnreachable();

    assertThat(selections(0, 100, besidePlain), is(100L));
  }

  @Test
  void retryLeavesWhenTheOnlyEndpointAtHomeFailedTheCall() {
    assertThat(
        selector.selectForPlainCall(0, plain, Set.of(homePlain.id())),
        is(Optional.of(besidePlain)));
  }

  @Test
  void plainCallsDoNotLeaveForDomainsWithoutReports() {
    reportAgesMillis.clear();
    workload.addLocal(homePlain.id(), new EndpointWorkload(18, 0, 0));

    selections(0, 200, homePlain);
    assertThat(selections(4_000, 200, homePlain), is(200L));
  }

  @Test
  void fullLinkKeepsPlainCallsInTheRegion() {
    workload.addLocal(homePlain.id(), new EndpointWorkload(60, 0, 0));
    List<EndpointEntry> homeAndFar = List.of(homePlain, farPlain);
    for (int i = 0; i < 200; i++) {
      selector.selectForPlainCall(i * 20, homeAndFar, Set.of(), 20_000);
    }

    long crossings =
        IntStream.range(200, 700)
            .mapToObj(i -> selector.selectForPlainCall(i * 20, homeAndFar, Set.of(), 20_000))
            .filter(Optional.of(farPlain)::equals)
            .count();

    assertThat(crossings, greaterThan(20L));
    assertThat(crossings * 20_000, lessThan(1_100_000L));
  }

  @Test
  void streamsStayAtHomeWhileItHasCapacity() {
    workload.addLocal(homeDecode.id(), new EndpointWorkload(3, 0, 3_000));

    StreamPlacement placement = place(0);

    assertThat(placement.decode(), is(homeDecode));
    assertThat(placement.prefill(), is(Optional.of(homePrefill)));
  }

  /** Guards against a refusal for the sake of the domain. */
  @Test
  void streamLeavesAtOnceWhenHomeHasNoCapacityForIt() {
    workload.addLocal(homeDecode.id(), new EndpointWorkload(9, 0, 31_000));

    assertThat(place(0).decode(), is(besideDecode));
  }

  /** Guards against KV cache transfers between domains that a pair in one domain avoids. */
  @Test
  void streamThatLeavesIsPrefilledWhereItRuns() {
    workload.addLocal(homeDecode.id(), new EndpointWorkload(9, 0, 31_000));

    assertThat(place(0).prefill(), is(Optional.of(besidePrefill)));
  }

  /** Guards against prompts that pause running streams because a domain has no prefill engines. */
  @Test
  void homeWithoutPrefillEnginesUsesThoseOfAnotherDomain() {
    StreamPlacement placement =
        selector
            .placeStreamOnBest(
                0,
                List.of(homeDecode, besidePrefill, besideDecode),
                Set.of(),
                PROFILE,
                new StreamRequirements(5_000, 5_300, true, Set.of(), 0.93, false, 300))
            .orElseThrow();

    assertThat(placement.decode(), is(homeDecode));
    assertThat(placement.prefill(), is(Optional.of(besidePrefill)));
  }

  /** Guards against instances of small fleets that spread streams over domains with capacity. */
  @Test
  void streamsPlacedByWeightStayAtHomeUntilItIsFull() {
    List<EndpointEntry> many =
        Stream.of(HOME, BESIDE, FAR)
            .flatMap(
                domain ->
                    IntStream.range(0, 6)
                        .mapToObj(
                            i ->
                                endpoint(
                                    domain + "-" + i,
                                    domain,
                                    i < 2 ? EndpointStage.PREFILL : EndpointStage.DECODE)))
            .toList();

    for (int i = 0; i < 100; i++) {
      StreamPlacement placement = placeByWeight(many);
      assertThat(placement.decode().domain(), is(HOME));
      assertThat(placement.prefill().orElseThrow().domain(), is(HOME));
    }

    many.stream()
        .filter(engine -> engine.domain().equals(HOME))
        .forEach(engine -> workload.addLocal(engine.id(), new EndpointWorkload(9, 0, 31_000)));
    assertThat(placeByWeight(many).decode().domain(), not(HOME));
  }

  private StreamPlacement placeByWeight(List<EndpointEntry> candidates) {
    return selector
        .placeStreamByWeight(0, candidates, Set.of(), PROFILE, REQUIREMENTS)
        .orElseThrow();
  }

  /** Guards against an allocator that prefers its own domain to that of the instance that asks. */
  @Test
  void allocatorPlacesStreamsInTheDomainOfTheirHolder() {
    IncarnationId holder = IncarnationId.of(InstanceId.of("holder"), 1);
    IncarnationId unknownHolder = IncarnationId.of(InstanceId.of("unknown"), 1);
    StreamCapacityAllocator allocator =
        StreamCapacityAllocator.of(
            IncarnationId.of(InstanceId.of("allocator"), 1),
            selector,
            workload,
            health,
            one -> one.equals(holder) ? Optional.of(BESIDE) : Optional.empty());
    reportAgesMillis.put(HOME, 0L);

    for (int i = 0; i < 4; i++) {
      assertThat(placeAtAllocator(allocator, holder, "r" + i).decode(), is(besideDecode));
    }
    assertThat(placeAtAllocator(allocator, unknownHolder, "r").decode(), is(homeDecode));
  }

  /** Guards against a changed selection in deployments that do not use the setting. */
  @Test
  void withoutFilterHoldersHaveNoEffectAndNoRandomNumberIsDrawn() {
    int[] draws = {0};
    EndpointSelector unfiltered =
        EndpointSelector.of(
            TOPOLOGY,
            workload,
            health,
            () -> {
              draws[0]++;
              return 0;
            });

    assertThat(unfiltered.forHome(Optional.of(FAR)) == unfiltered, is(true));
    unfiltered.selectForPlainCall(0, plain, Set.of());
    assertThat(draws[0], is(3));
    unfiltered.placeStreamOnBest(0, engines, Set.of(), PROFILE, REQUIREMENTS);
    assertThat(draws[0], is(7));
  }

  private long selections(long fromMillis, int calls, EndpointEntry expected) {
    return IntStream.range(0, calls)
        .mapToObj(i -> selector.selectForPlainCall(fromMillis + i * 20L, plain, Set.of()))
        .filter(Optional.of(expected)::equals)
        .count();
  }

  private StreamPlacement place(long nowMillis) {
    return selector
        .placeStreamOnBest(nowMillis, engines, Set.of(), PROFILE, REQUIREMENTS)
        .orElseThrow();
  }

  private StreamPlacement placeAtAllocator(
      StreamCapacityAllocator allocator, IncarnationId holder, String requestId) {
    return allocator
        .place(0, holder, requestId, 10_000, engines, Set.of(), PROFILE, REQUIREMENTS)
        .orElseThrow();
  }

  private static EndpointEntry endpoint(String id, FailureDomainId domain, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id), 0, ServiceId.of("notes"), "127.0.0.1", 9000, domain, stage, 6, false);
  }
}
