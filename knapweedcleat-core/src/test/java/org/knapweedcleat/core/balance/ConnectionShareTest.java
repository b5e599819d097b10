package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Load: all instances of a fleet send to the same endpoint at once. */
class ConnectionShareTest {

  @Test
  void instancesTogetherStayWithinTheNumber() {
    for (int instances = 1; instances <= 92; instances++) {
      assertThat(instances * ConnectionShare.of(370, instances), lessThanOrEqualTo(370));
    }
  }

  @Test
  void largeFleetKeepsFewConnectionsPerInstance() {
    assertThat(ConnectionShare.of(370, 117), is(ConnectionShare.MIN_CONNECTIONS));
  }

  @Test
  void shareNeverExceedsTheNumber() {
    assertThat(ConnectionShare.of(2, 9), is(2));
    assertThat(ConnectionShare.of(110, 1), is(110));
  }

  @Test
  void unlimitedServiceStaysUnlimited() {
    assertThat(ConnectionShare.of(Integer.MAX_VALUE, 1), is(Integer.MAX_VALUE));
  }

  @Test
  void implausibleNumbersLeaveOneConnection() {
    assertThat(ConnectionShare.of(0, 8), is(1));
    assertThat(ConnectionShare.of(-5, 8), is(1));
    assertThat(ConnectionShare.of(110, 0), is(110));
  }
}
