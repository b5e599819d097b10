package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
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
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** Gossip among many small instances in two regions with a narrow link between them. */
class LargeFleetTest {

  private static final int INSTANCES = 75;
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
    fleet.running().forEach(node -> replaceItems(node, List.of(item("i-1", 5)), 5));
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
    readers().forEach(node -> applyChange(node, item("i-2", 9), 9));
    fleet.run(1_000);

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(true));
    }
    readers()
        .forEach(
            node -> applyChange(node, new PublishedItem.Removed(EndpointId.of("i-2"), 12), 12));
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
        .forEach(node -> applyChange(node, item("i-2", 9), 9));
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
    fleet.publish(item("i-2", 9));
    fleet.run(SimulatedFleet.BOUNDS.configApplyMillis());

    for (Node node : fleet.running()) {
      assertThat(node.directory.endpoints().find(EndpointId.of("i-2")).isPresent(), is(true));
    }
  }

  /** Guards against a new revision without a change of the endpoints, at which all read. */
  @Test
  void onlyReadersReadTheStoreAfterOtherItemsHaveChanged() {
    fleet.publish(item("i-1", 5));
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
            node -> applyChange(node, new PublishedItem.Removed(EndpointId.of("i-1"), 12), 12));
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

  private static void replaceItems(Node node, List<PublishedItem> items, long revision) {
    RoutingContent config =
        new RoutingContent(1, List.of(), List.of(), false, List.of(), RequestLimits.INITIAL);
    node.directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, revision)), revision);
    node.directory.onListed(PublishedKind.ENDPOINTS, items, revision);
  }

  private static void applyChange(Node node, PublishedItem item, long revision) {
    node.directory.onChanged(PublishedKind.ENDPOINTS, List.of(item), revision);
  }

  private static PublishedItem item(String id, long revision) {
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
    return new PublishedItem.Endpoint(entry, revision);
  }
}
