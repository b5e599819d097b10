package org.knapweedcleat.router.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.id.TeamId;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;

class ReadinessGateTest {

  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
  private static final long LISTEN_MILLIS = 1_000;
  private static final long SHARE_MILLIS = 20_000;

  private final FakeFleetView fleet = new FakeFleetView();
  private long nowMillis;
  private boolean ownsShare = true;
  private final ReadinessGate readiness =
      ReadinessGate.of(fleet, DOMAIN, () -> ownsShare, () -> nowMillis, LISTEN_MILLIS, SHARE_MILLIS);

  @Test
  void showsNothingBeforeItHasListened() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS - 1;
    assertThat(readiness.current().isPresent(), is(false));
    nowMillis = LISTEN_MILLIS;
    assertThat(readiness.current().isPresent(), is(true));
  }

  @Test
  void waitsForTheHighestRevisionInReach() {
    fleet.apply(3);
    readiness.onRevisionAnnounced(Revision.of(5));
    nowMillis = 10 * LISTEN_MILLIS;
    assertThat(readiness.isReady(), is(false));
    fleet.apply(5);
    assertThat(readiness.isReady(), is(true));
  }

  @Test
  void waitsForItsShareButNotForEver() {
    fleet.apply(3);
    ownsShare = false;
    nowMillis = SHARE_MILLIS - 1;
    assertThat(readiness.isReady(), is(false));
    nowMillis = SHARE_MILLIS;
    assertThat(readiness.isReady(), is(true));
  }

  @Test
  void showsNoDocumentWithoutItsFailureDomain() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS;
    assertThat(readiness.current().isPresent(), is(true));
    fleet.domains = Map.of();
    fleet.apply(4);
    assertThat(readiness.current().isPresent(), is(false));
  }

  @Test
  void staysReadyWhenOthersMoveOn() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS;
    assertThat(readiness.isReady(), is(true));
    readiness.onRevisionAnnounced(Revision.of(9));
    assertThat(readiness.isReady(), is(true));
  }

  private static final class FakeFleetView implements FleetSnapshotProvider {
    private Map<FailureDomainId, FailureDomainSpec> domains =
        Map.of(DOMAIN, new FailureDomainSpec(DOMAIN, RegionId.of("r"), TeamId.of("t")));
    private FleetSnapshot snapshot;

    void apply(long revision) {
      FleetDocument document =
          new FleetDocument(
              "d", Map.of(), domains, List.of(), Map.of(), Map.of(), List.of(), Map.of(), List.of(),
              Map.of());
      snapshot = new FleetSnapshot(Revision.of(revision), "", document);
    }

    @Override
    public Optional<FleetSnapshot> current() {
      return Optional.ofNullable(snapshot);
    }

    @Override
    public long unconfirmedMillis() {
      return 0;
    }
  }
}
