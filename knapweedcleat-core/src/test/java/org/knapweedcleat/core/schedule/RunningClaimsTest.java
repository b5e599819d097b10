package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;

class RunningClaimsTest {

  private static final IncarnationId OWNER = TestFleet.incarnation(1);
  private static final PoolId POOL = PoolId.of("pool");

  @Property(seed = "17", tries = 200)
  void roundTripsRequestNumbers(@ForAll Set<@LongRange(min = 0) Long> numbers) {
    List<RequestId> requests =
        new TreeSet<>(numbers).stream().map(number -> RequestId.of(OWNER, number)).toList();
    assertThat(RunningClaims.of(OWNER, POOL, requests).running(), is(requests));
  }

  @Test
  void omitsRequestsOfOtherOwners() {
    RequestId foreign = RequestId.of(TestFleet.incarnation(2), 1);
    List<RequestId> requests = List.of(foreign, RequestId.of("request"));
    assertThat(RunningClaims.of(OWNER, POOL, requests).running(), is(List.of()));
  }
}
