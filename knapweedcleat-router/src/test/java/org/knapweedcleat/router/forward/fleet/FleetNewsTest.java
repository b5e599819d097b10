package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembers;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.router.peer.PeerCodec;

class FleetNewsTest {

  private static final int INSTANCES = 75;

  /** The narrowest link between regions of a large deployment. */
  private static final double REGION_BITS_PER_SECOND = 42_000_000;

  /** The part of that link which news may take; calls and answers need the rest. */
  private static final double NEWS_PART = 0.25;

  /** The headers of a packet and of its acknowledgement. */
  private static final int PACKET_BYTES = 80;

  @Test
  void newsOfLargeFleetInTwoRegionsLeavesRoomBetweenThem() {
    FleetMember self = member(0);
    FleetMembers members = FleetMembers.of(self, 200);
    IntStream.range(1, INSTANCES).forEach(i -> members.heard(0, member(i), List.of()));
    Map<String, Long> spent = new HashMap<>();
    IntStream.range(0, 16).forEach(i -> spent.put("account" + i, 1_000_000L + i));
    Map<String, EndpointWork> work = new HashMap<>();
    IntStream.range(0, 4).forEach(i -> work.put("i-06e1b61cb" + i, new EndpointWork(1, 0, 4_000)));
    FleetNews news =
        new FleetNews(
            self,
            FailureDomainId.of("kayseri-a"),
            false,
            members.nextNamed(0),
            12,
            345,
            spent,
            List.of(),
            work);

    int bytes = PeerCodec.create().encodeFrame(news).length() + PACKET_BYTES;
    double pairs = (INSTANCES / 2.0) * (INSTANCES / 2.0);
    double bitsPerSecond = pairs * bytes * 8 * 1_000 / members.intervalMillis();

    assertThat(bitsPerSecond, lessThan(REGION_BITS_PER_SECOND * NEWS_PART));
  }

  private static FleetMember member(int number) {
    IncarnationId run = IncarnationId.of(InstanceId.of("front-kayseri-a-" + number), 1_764_800_000);
    return new FleetMember(run, "10.1.0." + number, 8_229);
  }
}
