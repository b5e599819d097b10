package org.knapweedcleat.core.stage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class StageBalancerTest {

  private static final String UNKNOWN_REGION = "unknown";

  private final StageBalancer balancer = StageBalancer.of(0.27, StageBalancerTest::region);

  @Test
  void changesPrefillEngineInRegionWithMost() {
    List<EndpointEntry> engines = new ArrayList<>();
    engines.add(engine("a1", EndpointStage.PREFILL));
    engines.add(engine("a2", EndpointStage.PREFILL));
    engines.add(engine("a3", EndpointStage.DECODE));
    engines.add(engine("a4", EndpointStage.DECODE));
    engines.add(engine("b1", EndpointStage.PREFILL));
    engines.add(engine("b2", EndpointStage.DECODE));

    StageChange change = balancer.nextChange(engines).get();

    assertThat(change.engine().domain().value().charAt(0), is('a'));
    assertThat(change.stage(), is(EndpointStage.DECODE));
  }

  /** Guards against domains without prefill engines, whose KV caches all cross domains. */
  @Test
  void balancesDomainsOfRegionIfEnabled() {
    List<EndpointEntry> engines = new ArrayList<>();
    for (String domain : List.of("x", "y", "z")) {
      for (int i = 0; i < 4; i++) {
        engines.add(engineIn(domain, domain + i, EndpointStage.DECODE));
      }
    }
    StageBalancer balancing =
        StageBalancer.of(0.27, engine -> Optional.of(RegionId.of("r"))).balancingDomains(true);
    Set<FailureDomainId> prefillDomains = new HashSet<>();
    Optional<StageChange> next = balancing.nextChange(engines);
    while (next.isPresent()) {
      EndpointEntry changed = next.get().engine();
      prefillDomains.add(changed.domain());
      engines.remove(changed);
      engines.add(engineIn(changed.domain().value(), changed.id().value(), EndpointStage.PREFILL));
      next = balancing.nextChange(engines);
    }

    assertThat(prefillDomains.size(), is(3));
  }

  @Test
  void stopsAtTarget() {
    List<EndpointEntry> engines = new ArrayList<>();
    for (int i = 0; i < 13; i++) {
      engines.add(engine("a" + i, i < 7 ? EndpointStage.PREFILL : EndpointStage.DECODE));
    }
    int changes = 0;
    Optional<StageChange> next = balancer.nextChange(engines);
    while (next.isPresent()) {
      StageChange change = next.get();
      engines.remove(change.engine());
      engines.add(engine(change.engine().id().value(), change.stage()));
      changes++;
      next = balancer.nextChange(engines);
    }

    assertThat(changes, is(3));
  }

  @Test
  void keepsOnePrefillEngine() {
    assertThat(
        balancer.nextChange(
            List.of(engine("a1", EndpointStage.PREFILL), engine("a2", EndpointStage.DECODE))),
        is(Optional.empty()));
    assertThat(
        balancer.nextChange(List.of(engine("a1", EndpointStage.DECODE))), is(Optional.empty()));
  }

  @Test
  void rejectsFractionOutOfRange() {
    assertThrows(
        IllegalArgumentException.class, () -> StageBalancer.of(1, engine -> Optional.empty()));
  }

  /** Guards against an engine whose failure domain is in no region, which stopped all changes. */
  @Test
  void changesEnginesBesideOneOfUnknownRegion() {
    List<EndpointEntry> engines = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      engines.add(engine("a-" + i, EndpointStage.DECODE));
    }
    engines.add(engine(UNKNOWN_REGION + "-1", EndpointStage.DECODE));

    assertThat(balancer.nextChange(engines).isPresent(), is(true));
  }

  private static Optional<RegionId> region(EndpointEntry engine) {
    String domain = engine.domain().value();
    return domain.startsWith(UNKNOWN_REGION)
        ? Optional.empty()
        : Optional.of(RegionId.of(domain.substring(0, 1)));
  }

  private static EndpointEntry engine(String id, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        ServiceId.of("notes"),
        "127.0.0.1",
        9000,
        FailureDomainId.of(id),
        stage,
        64,
        false);
  }

  private static EndpointEntry engineIn(String domain, String id, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        ServiceId.of("notes"),
        "127.0.0.1",
        9000,
        FailureDomainId.of(domain),
        stage,
        6,
        false);
  }
}
