package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;

class RevisionTrackerTest {

  private static final String GOOD = SampleDocument.TEXT;
  private static final String OTHER = GOOD.replace("priority = 5", "") + "# another text\n";
  private static final String BAD = "[nothing]\n";

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private RevisionTracker gate = RevisionTracker.of(monitor);

  @Test
  void appliesHigherRevisionsAndNoLowerOnes() {
    assertThat(offer(2, GOOD), instanceOf(RevisionOutcome.Applied.class));
    assertThat(offer(2, GOOD), is(new RevisionOutcome.Unchanged(Revision.of(2))));
    assertThat(offer(1, OTHER), is(new RevisionOutcome.Older(Revision.of(1), Revision.of(2))));
    assertThat(offer(3, OTHER), instanceOf(RevisionOutcome.Applied.class));
    assertThat(gate.revision(), is(Revision.of(3)));
    assertThat(monitor.violationCount(), is(0L));
  }

  @Test
  void keepsWhatIsInForceWhenTheNextDoesNotCheck() {
    offer(1, GOOD);

    RevisionOutcome rejected = offer(2, BAD);

    assertThat(rejected, instanceOf(RevisionOutcome.Rejected.class));
    assertThat(offer(2, BAD), is(rejected));
    assertThat(gate.revision(), is(Revision.of(1)));
    assertThat(offer(3, GOOD), instanceOf(RevisionOutcome.Applied.class));
  }

  @Test
  void countsRevisionsThatComeWithTwoTexts() {
    offer(1, GOOD);
    assertThat(offer(1, OTHER), instanceOf(RevisionOutcome.Conflicting.class));
    assertThat(monitor.violationCount(), is(1L));

    offer(2, BAD);
    assertThat(offer(2, GOOD), instanceOf(RevisionOutcome.Conflicting.class));
    assertThat(monitor.violationCount(), is(2L));
    assertThat(gate.current().orElseThrow().document(), is(SampleDocument.document()));
  }

  @Test
  void refusesRevisionsThatThePlatformNeverGives() {
    assertThrows(IllegalArgumentException.class, () -> offer(0, GOOD));
  }

  @Property(seed = "3", tries = 60)
  void endsAtTheHighestGoodRevision(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 8) Integer> offers) {
    gate = RevisionTracker.of(monitor);
    Map<Integer, String> texts = new HashMap<>();
    int highestGood = 0;
    long lastSeen = 0;
    for (int number : offers) {
      boolean good = number % 3 != 0;
      offer(number, texts.computeIfAbsent(number, each -> good ? GOOD : BAD));
      highestGood = good ? Math.max(highestGood, number) : highestGood;
      assertThat(gate.revision().number() >= lastSeen, is(true));
      lastSeen = gate.revision().number();
    }
    assertThat(gate.revision(), is(Revision.of(highestGood)));
    assertThat(monitor.violationCount(), is(0L));
  }

  private RevisionOutcome offer(long revision, String text) {
    return gate.offer(Revision.of(revision), "fleet", text);
  }
}
