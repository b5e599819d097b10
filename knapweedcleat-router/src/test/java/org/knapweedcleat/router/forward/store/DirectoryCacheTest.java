package org.knapweedcleat.router.forward.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.log.DecisionLog;

/** The directory of an instance whose store loses its last changes. */
class DirectoryCacheTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final EndpointId ID = EndpointId.of("e-1");

  /** Live endpoints are published again within this time after the store is back. */
  private static final long REREGISTRATION_MILLIS = 2_000;

  /** Entries of endpoints that have ended expire within this time. */
  private static final long EXPIRY_MILLIS = 3_600;

  private long nowMillis = 100_000;
  private final DirectoryCache directory =
      DirectoryCache.of(() -> nowMillis, DecisionLog.of(() -> nowMillis, new MetricRegistry()));

  @Test
  void endpointThatLostStoreHadRemovedIsNotUsedUnlessItOutlastsItsExpiry() {
    list(at(1, 20), entry("e-1", at(1, 20)));
    change(at(1, 41), new PublishedItem.Removed(ID, at(1, 41)));
    list(at(2, 30), entry("e-1", at(2, 20)));

    pass(EXPIRY_MILLIS);

    assertThat(available(), empty());

    pass(2 * EXPIRY_MILLIS);

    assertThat(available(), contains(ID));
  }

  @Test
  void endpointThatRestoredStoreRemovesStaysRemoved() {
    list(at(1, 20), entry("e-1", at(1, 20)));
    change(at(1, 41), new PublishedItem.Removed(ID, at(1, 41)));
    list(at(2, 30), entry("e-1", at(2, 20)));
    change(at(2, 31), new PublishedItem.Removed(ID, at(2, 31)));

    pass(3 * EXPIRY_MILLIS);

    assertThat(available(), empty());
  }

  @Test
  void endpointThatIsPublishedAgainInRestoredStoreIsUsedAtOnce() {
    list(at(1, 20), entry("e-1", at(1, 20)));
    change(at(1, 41), new PublishedItem.Removed(ID, at(1, 41)));
    list(at(2, 30), entry("e-1", at(2, 20)));
    change(at(2, 31), entry("e-1", at(2, 31)));

    assertThat(available(), contains(ID));
  }

  @Test
  void endpointThatRestoredStoreLacksIsUsedUntilItMustBeBack() {
    list(at(1, 20));
    change(at(1, 41), entry("e-1", at(1, 41)));
    list(at(2, 30));

    pass(REREGISTRATION_MILLIS);

    assertThat(available(), contains(ID));

    pass(REREGISTRATION_MILLIS);

    assertThat(available(), empty());
  }

  @Test
  void endpointThatIsBackAfterTwoRestorationsInSecondsIsUsed() {
    list(at(1, 20));
    change(at(1, 41), entry("e-1", at(1, 41)));
    list(at(2, 30));
    pass(REREGISTRATION_MILLIS / 2);
    list(at(3, 25));
    pass(REREGISTRATION_MILLIS);
    assertThat(available(), contains(ID));
    change(at(3, 26), entry("e-1", at(3, 26)));

    pass(2 * REREGISTRATION_MILLIS);

    assertThat(available(), contains(ID));
  }

  @Test
  void peerOfEarlierEraChangesNothing() {
    list(at(1, 20), entry("e-1", at(1, 20)));
    list(at(2, 30), entry("e-2", at(2, 30)));
    pass(2 * REREGISTRATION_MILLIS);

    directory.mergeEndpoints(Map.of(endpoint("e-1"), at(1, 44)), List.of(ID), at(1, 45));

    assertThat(available(), contains(EndpointId.of("e-2")));
  }

  /** Guards against a late entry that is not applied but cancels what was decided after it. */
  @Test
  void lateEntryNeitherCancelsRemovalNorDropsHeldEntry() {
    list(at(1, 20), entry("e-1", at(1, 20)), entry("e-2", at(1, 19)));
    change(at(1, 41), new PublishedItem.Removed(ID, at(1, 41)));
    list(at(2, 30), entry("e-1", at(2, 20)));
    change(at(2, 31), entry("e-1", at(1, 38)));
    change(at(2, 32), entry("e-2", at(1, 39)));

    pass(2 * EXPIRY_MILLIS);

    assertThat(available(), contains(ID));
  }

  /** The configuration has versions of its own, which a restoration does not take back. */
  @Test
  void configurationOfRestoredStoreReplacesOnlyOlderVersions() {
    listConfig(at(1, 41), 7);
    listConfig(at(2, 30), 5);
    assertThat(version(), is(7L));

    listConfig(at(2, 33), 8);

    assertThat(version(), is(8L));
  }

  private void list(StorePosition position, PublishedItem... items) {
    directory.onListed(PublishedKind.ENDPOINTS, List.of(items), position);
  }

  private void change(StorePosition position, PublishedItem item) {
    directory.onChanged(PublishedKind.ENDPOINTS, List.of(item), position);
  }

  private void listConfig(StorePosition position, long version) {
    RoutingContent content =
        new RoutingContent(version, List.of(), List.of(), false, List.of(), RequestLimits.INITIAL);
    directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(content, position)), position);
  }

  private void pass(long millis) {
    nowMillis += millis;
    directory.tick();
  }

  private List<EndpointId> available() {
    return directory.endpoints().available(SERVICE).stream().map(EndpointEntry::id).toList();
  }

  private long version() {
    return directory.config().map(RoutingConfig::version).orElse(-1L);
  }

  private static StorePosition at(long era, long revision) {
    return StorePosition.of(era, revision);
  }

  private static PublishedItem entry(String id, StorePosition position) {
    return new PublishedItem.Endpoint(endpoint(id), position);
  }

  private static EndpointEntry endpoint(String id) {
    return new EndpointEntry(
        EndpointId.of(id),
        1,
        SERVICE,
        "10.2.0.1",
        80,
        FailureDomainId.of("a"),
        EndpointStage.WHOLE,
        64,
        false);
  }
}
