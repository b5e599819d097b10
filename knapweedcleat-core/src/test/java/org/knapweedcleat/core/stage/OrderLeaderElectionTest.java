package org.knapweedcleat.core.stage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.InstanceId;

class OrderLeaderElectionTest {

  private static final InstanceId A = InstanceId.of("a");
  private static final InstanceId B = InstanceId.of("b");
  private static final InstanceId C = InstanceId.of("c");

  @Test
  void firstInstanceLeadsOnceFleetIsStable() {
    OrderLeaderElection election = OrderLeaderElection.of(A, 3_000);
    election.observe(0, Set.of(B, C), Set.of(B, C));

    assertThat(election.isLeader(2_999), is(false));
    assertThat(election.isLeader(3_000), is(true));
  }

  @Test
  void nobodyLeadsWhileAnInstanceIsMissing() {
    OrderLeaderElection election = OrderLeaderElection.of(A, 3_000);
    election.observe(0, Set.of(B, C), Set.of(B));

    assertThat(election.isLeader(60_000), is(false));
  }

  @Test
  void fleetChangeRestartsStablePeriod() {
    OrderLeaderElection election = OrderLeaderElection.of(A, 3_000);
    election.observe(0, Set.of(B), Set.of(B));
    election.observe(5_000, Set.of(B, C), Set.of(B, C));

    assertThat(election.isLeader(5_000), is(false));
    assertThat(election.isLeader(8_000), is(true));
  }

  @Test
  void instanceWithoutPeersDoesNotLead() {
    OrderLeaderElection election = OrderLeaderElection.of(A, 3_000);
    election.observe(0, Set.of(), Set.of());

    assertThat(election.isLeader(60_000), is(false));
  }

  /** Network partitions come and go, while all instances know all members. */
  @Property(seed = "20261204", tries = 100)
  void twoInstancesNeverLeadWithinLease(@ForAll long seed) {
    Random random = new Random(seed);
    List<InstanceId> fleet = List.of(A, B, C);
    List<OrderLeaderElection> elections =
        fleet.stream().map(id -> OrderLeaderElection.of(id, 3_200)).toList();
    long[] leaderAt = {Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2};
    Set<InstanceId> partition = new HashSet<>(fleet);
    for (long now = 0; now < 60_000; now += 50) {
      if (random.nextInt(60) == 0) {
        partition = new HashSet<>(fleet);
        partition.removeIf(id -> random.nextBoolean());
      }
      for (int i = 0; i < fleet.size(); i++) {
        Set<InstanceId> others = new HashSet<>(fleet);
        others.remove(fleet.get(i));
        Set<InstanceId> live = new HashSet<>(others);
        boolean inPartition = partition.contains(fleet.get(i));
        Set<InstanceId> currentPartition = partition;
        live.removeIf(other -> currentPartition.contains(other) != inPartition);
        elections.get(i).observe(now, others, live);
        if (elections.get(i).isLeader(now)) {
          leaderAt[i] = now;
          for (int j = 0; j < fleet.size(); j++) {
            assertThat(j == i || now - leaderAt[j] > 3_000, is(true));
          }
        }
      }
    }
  }
}
