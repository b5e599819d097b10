package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** Gossip among many small instances in two regions with a narrow link between them. */
class LargeFleetTest {

  private static final int INSTANCES = 75;
  private static final int DOMAINS = 6;
  private static final long JOIN_MILLIS = 6_000;

  /** Bandwidth per direction of the narrowest link between regions of a large deployment. */
  private static final double REGION_LINK_BITS_PER_SECOND = 42_000_000;

  /** Share of that link that gossip may use; calls and responses need the rest. */
  private static final double MAX_GOSSIP_SHARE = 0.25;

  /** Half the rate of all-to-all gossip, for which small instances lack CPU time. */
  private static final long MAX_MESSAGES_PER_SECOND = 3_750;

  private static final EndpointId ENGINE = EndpointId.of("i-1");

  private final SimulatedFleet fleet = SimulatedFleet.of(INSTANCES, "a", "b", "c", "d", "e", "f");

  @BeforeEach
  void publishEndpoint() {
    fleet.running().forEach(node -> replaceItems(node, List.of(item("i-1", at(5))), at(5)));
    fleet.run(JOIN_MILLIS);
  }

  @Test
  void discoversAllMembersFromThreeSeeds() {
    for (Node node : fleet.running()) {
      assertThat(node.members.liveMembers(fleet.nowMillis()).size(), is(INSTANCES - 1));
    }
  }

  @Test
  void boundsGossipMessagesAndRegionTraffic() {
    long messages = fleet.messages();
    long bytes = fleet.bytesBetweenRegions();
    fleet.run(10_000);

    double bothWaysBits = (fleet.bytesBetweenRegions() - bytes) * 8 / 10.0;
    assertThat((fleet.messages() - messages) / 10, lessThan(MAX_MESSAGES_PER_SECOND));
    assertThat(bothWaysBits / 2, lessThan(REGION_LINK_BITS_PER_SECOND * MAX_GOSSIP_SHARE));
  }

  @Test
  void propagatesWorkOfEachInstance() {
    fleet.running().forEach(node -> node.work.addLocal(ENGINE, new EndpointWorkload(1, 0, 100)));
    fleet.run(2_500);

    for (Node node : fleet.running()) {
      assertThat(node.work.total(ENGINE, fleet.nowMillis()).calls(), is(INSTANCES));
    }
  }

  @Test
  void twoInstancesPerDomainReadTheStore() {
    long readers = fleet.running().stream().filter(node -> node.gossip.readsStore()).count();

    assertThat(readers, lessThanOrEqualTo(12L));
    assertThat(readers, greaterThan(0L));
  }

  @Test
  void propagatesStoreChangesWithinOneSecond() {
    readers().forEach(node -> applyChange(node, item("i-2", at(9))));
    fleet.run(1_000);

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(true));
    }
    readers()
        .forEach(
            node -> applyChange(node, new PublishedItem.Removed(EndpointId.of("i-2"), at(12))));
    fleet.run(1_000);
    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(false));
    }
  }

  @Test
  void domainWithoutStoreSynchronizesFromOtherDomains() {
    FailureDomainId disconnected = FailureDomainId.of("f");
    fleet.disconnectFromStore(disconnected);
    fleet.run(5_000);
    readers().stream()
        .filter(node -> !node.self.domain().equals(disconnected))
        .forEach(node -> applyChange(node, item("i-2", at(9))));
    fleet.run(4_000);

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(true));
    }
  }

  /** Guards against a domain that waits for readers which live but are cut off from the store. */
  @Test
  void domainLearnsOfChangesInTimeAlthoughItsReadersHaveNoStore() {
    FailureDomainId domain = FailureDomainId.of("f");
    readers().stream()
        .filter(node -> node.self.domain().equals(domain))
        .forEach(fleet::disconnectFromStore);
    fleet.publish(item("i-2", at(9)));
    fleet.run(SimulatedFleet.BOUNDS.configApplyMillis());

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(true));
    }
  }

  /** Guards against revisions of a restored store that are compared with those it has lost. */
  @Test
  void instancesFollowTheirReadersIntoTheEraOfRestoredStore() {
    fleet.publish(item("i-1", at(5)));
    fleet.publish(item("i-2", at(40)));
    fleet.run(2_000);
    fleet.restoreStore(StorePosition.of(2, 6), item("i-1", StorePosition.of(2, 5)));
    fleet.run(1_000);
    fleet.publish(item("i-3", StorePosition.of(2, 7)));
    fleet.publish(new PublishedItem.Removed(EndpointId.of("i-1"), StorePosition.of(2, 8)));
    fleet.run(SimulatedFleet.BOUNDS.configApplyMillis());

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().ids(), contains(EndpointId.of("i-3")));
    }
  }

  /** Guards against a refusal by what a restored store holds before peers were asked. */
  @Test
  void configurationIsComparedWithPeersAgainInNewEra() {
    fleet.publish(item("i-1", at(5)));
    fleet.run(2_000);
    Node reader = fleet.running().get(0);
    assertThat(reader.gossip.isComparedWithPeers(), is(true));

    StorePosition restored = StorePosition.of(2, 5);
    replaceItems(reader, List.of(item("i-1", restored)), restored);

    assertThat(reader.gossip.isComparedWithPeers(), is(false));

    fleet.restoreStore(restored, item("i-1", restored));
    fleet.run(1_000);

    for (Node node : fleet.running()) {
      assertThat(node.gossip.isComparedWithPeers(), is(true));
    }
  }

  /** An instance without the store hears of both eras, of the earlier one last. */
  @Test
  void instanceWithoutStoreKeepsLaterEraThatItHasHeardOf() {
    Node disconnected = fleet.running().get(0);
    Node outdated = fleet.running().get(6);
    fleet.publish(item("i-2", at(40)));
    fleet.run(2_000);
    fleet.disconnectFromStore(disconnected);
    fleet.pause(outdated);
    fleet.restoreStore(StorePosition.of(2, 6), item("i-3", StorePosition.of(2, 6)));
    fleet.run(8_000);
    fleet.disconnectFromStore(outdated);
    fleet.resume(outdated);
    fleet.run(4_000);

    assertThat(outdated.self.domain(), is(disconnected.self.domain()));
    for (Node node : List.of(disconnected, outdated)) {
      assertThat(node.directory.endpoints().ids(), contains(EndpointId.of("i-3")));
    }
  }

  /** Guards against a removal that others carry out later, without a new position. */
  @Test
  void readerWithoutStoreLearnsOfDeferredRemoval() {
    Node reader = fleet.running().get(0);
    fleet.disconnectFromStore(reader);
    fleet.run(5_000);
    fleet.restoreStore(StorePosition.of(2, 4), item("i-3", StorePosition.of(2, 4)));
    fleet.run(1_000);
    assertThat(reader.directory.endpoints().ids(), hasItem(EndpointId.of("i-3")));

    fleet.run(4_000);

    assertThat(reader.gossip.readsStore(), is(true));
    assertThat(reader.directory.endpoints().ids(), contains(EndpointId.of("i-3")));
  }

  /** Guards against positions that an older build takes for revisions, or the other way round. */
  @Test
  void instancesOfAnOlderBuildAndOfThisOneLearnOfChangesInTime() {
    fleet.publish(item("i-1", at(5)));
    List<Node> all = fleet.running();
    for (int i = 0; i < INSTANCES; i++) {
      boolean olderBuild = i / DOMAINS % 2 == 0;
      if (olderBuild) {
        fleet.runOlderBuild(all.get(i));
      }
      if (olderBuild || i > INSTANCES / 2) {
        fleet.restart(all.get(i));
      }
    }
    fleet.run(JOIN_MILLIS);
    fleet.publish(item("i-2", at(12)));
    fleet.run(SimulatedFleet.BOUNDS.configApplyMillis());
    for (Node node : fleet.running()) {
      assertThat(
          node.directory.endpoints().ids(), contains(EndpointId.of("i-1"), EndpointId.of("i-2")));
    }

    fleet.publish(new PublishedItem.Removed(EndpointId.of("i-1"), at(13)));
    fleet.run(SimulatedFleet.BOUNDS.configApplyMillis());

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().ids(), contains(EndpointId.of("i-2")));
    }
  }

  /** Guards against a new revision without a change of the endpoints, at which all read. */
  @Test
  void onlyReadersReadTheStoreAfterOtherItemsHaveChanged() {
    fleet.publish(item("i-1", at(5)));
    Set<InstanceId> readers = fleet.runAndCollectStoreReaders(1_000);

    fleet.changeOtherItems();

    assertThat(fleet.runAndCollectStoreReaders(5_000), is(readers));
  }

  @Test
  void otherInstancesReadTheStoreAfterAllReadersAreKilled() {
    readers().forEach(fleet::kill);
    fleet.run(5_000);

    assertThat(readers().size(), is(12));
    for (Node node : fleet.running()) {
      assertThat(node.members.liveMembers(fleet.nowMillis()).size(), is(INSTANCES - 12 - 1));
    }
  }

  /**
   * An instance is paused while an endpoint is removed, and the store is unreachable when it
   * resumes with outdated entries.
   */
  @Test
  void resumedInstanceDoesNotRestoreRemovedEndpoint() {
    Node paused = fleet.running().get(INSTANCES - 1);
    final Node restarted = fleet.running().get(INSTANCES - 1 - 6);
    fleet.pause(paused);
    fleet.run(1_000);
    readers()
        .forEach(
            node -> applyChange(node, new PublishedItem.Removed(EndpointId.of("i-1"), at(12))));
    fleet.run(2_000);
    List.of("a", "b", "c", "d", "e", "f")
        .forEach(domain -> fleet.disconnectFromStore(FailureDomainId.of(domain)));
    fleet.restart(restarted);
    fleet.resume(paused);
    fleet.run(4_000);

    assertThat(restarted.self.domain(), is(paused.self.domain()));
    for (Node node : fleet.running()) {
      assertThat(node.directory.isLoaded(), is(true));
      assertThat(node.directory.endpoints().find(EndpointId.of("i-1")).isPresent(), is(false));
    }
  }

  private List<Node> readers() {
    return fleet.running().stream().filter(node -> node.gossip.readsStore()).toList();
  }

  private static void replaceItems(Node node, List<PublishedItem> items, StorePosition position) {
    RoutingContent config =
        new RoutingContent(1, List.of(), List.of(), false, List.of(), RequestLimits.INITIAL);
    node.directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, position)), position);
    node.directory.onListed(PublishedKind.ENDPOINTS, items, position);
  }

  private static void applyChange(Node node, PublishedItem item) {
    node.directory.onChanged(PublishedKind.ENDPOINTS, List.of(item), item.position());
  }

  private static StorePosition at(long revision) {
    return StorePosition.of(1, revision);
  }

  private static PublishedItem item(String id, StorePosition position) {
    EndpointEntry entry =
        new EndpointEntry(
            EndpointId.of(id),
            1,
            ServiceId.of("notes"),
            "10.2.0.1",
            80,
            FailureDomainId.of("a"),
            EndpointStage.DECODE,
            64,
            false);
    return new PublishedItem.Endpoint(entry, position);
  }
}
