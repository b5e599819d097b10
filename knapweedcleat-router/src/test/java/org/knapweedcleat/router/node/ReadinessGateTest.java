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
  private static final long SHARE_WAIT_MILLIS = 20_000;

  private final FakeFleetView fleet = new FakeFleetView();
  private long nowMillis;
  private boolean ownsShare = true;
  private final ReadinessGate gate =
      ReadinessGate.of(
          fleet, DOMAIN, () -> ownsShare, () -> nowMillis, LISTEN_MILLIS, SHARE_WAIT_MILLIS);

  @Test
  void exposesNoSnapshotDuringListenPeriod() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS - 1;
    assertThat(gate.current().isPresent(), is(false));
    nowMillis = LISTEN_MILLIS;
    assertThat(gate.current().isPresent(), is(true));
  }

  @Test
  void waitsForHighestAnnouncedRevision() {
    fleet.apply(3);
    gate.onRevisionAnnounced(Revision.of(5));
    nowMillis = 10 * LISTEN_MILLIS;
    assertThat(gate.isReady(), is(false));
    fleet.apply(5);
    assertThat(gate.isReady(), is(true));
  }

  @Test
  void waitsForShareUntilTimeout() {
    fleet.apply(3);
    ownsShare = false;
    nowMillis = SHARE_WAIT_MILLIS - 1;
    assertThat(gate.isReady(), is(false));
    nowMillis = SHARE_WAIT_MILLIS;
    assertThat(gate.isReady(), is(true));
  }

  @Test
  void exposesNoDocumentWithoutOwnFailureDomain() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS;
    assertThat(gate.current().isPresent(), is(true));
    fleet.domains = Map.of();
    fleet.apply(4);
    assertThat(gate.current().isPresent(), is(false));
  }

  @Test
  void staysReadyWhenPeersAnnounceHigherRevision() {
    fleet.apply(3);
    nowMillis = LISTEN_MILLIS;
    assertThat(gate.isReady(), is(true));
    gate.onRevisionAnnounced(Revision.of(9));
    assertThat(gate.isReady(), is(true));
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
