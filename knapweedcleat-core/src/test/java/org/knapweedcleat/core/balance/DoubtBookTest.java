package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

class DoubtBookTest {

  private static final IncarnationId CUT_OFF = IncarnationId.of(InstanceId.of("cut-off"), 1);
  private static final EndpointId ENGINE = EndpointId.of("e-1");

  private final DoubtBook doubts = DoubtBook.create();

  @Test
  void repeatedWordOfInstanceThatIsCutOffCountsOnce() {
    assertThat(doubts.told(CUT_OFF, Set.of(ENGINE)), contains(ENGINE));

    for (int message = 0; message < 100; message++) {
      assertThat(doubts.told(CUT_OFF, Set.of(ENGINE)), empty());
    }
  }

  @Test
  void endpointThatIsLostAgainCountsAgain() {
    doubts.told(CUT_OFF, Set.of(ENGINE));
    doubts.told(CUT_OFF, Set.of());

    assertThat(doubts.told(CUT_OFF, Set.of(ENGINE)), contains(ENGINE));
  }

  @Test
  void newRunCountsAgain() {
    doubts.told(CUT_OFF, Set.of(ENGINE));
    doubts.ended(CUT_OFF);

    assertThat(doubts.told(CUT_OFF, Set.of(ENGINE)), contains(ENGINE));
  }
}
