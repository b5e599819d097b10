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

  private static final String VALID = SampleDocument.TEXT;
  private static final String OTHER = VALID.replace("priority = 5", "") + "# another text\n";
  private static final String INVALID = "[nothing]\n";

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private RevisionTracker tracker = RevisionTracker.of(monitor);

  @Test
  void appliesOnlyHigherRevisions() {
    assertThat(offer(2, VALID), instanceOf(RevisionOutcome.Applied.class));
    assertThat(offer(2, VALID), is(new RevisionOutcome.Unchanged(Revision.of(2))));
    assertThat(offer(1, OTHER), is(new RevisionOutcome.Older(Revision.of(1), Revision.of(2))));
    assertThat(offer(3, OTHER), instanceOf(RevisionOutcome.Applied.class));
    assertThat(tracker.revision(), is(Revision.of(3)));
    assertThat(monitor.violationCount(), is(0L));
  }

  @Test
  void keepsActiveDocumentWhenNextIsInvalid() {
    offer(1, VALID);

    RevisionOutcome rejected = offer(2, INVALID);

    assertThat(rejected, instanceOf(RevisionOutcome.Rejected.class));
    assertThat(offer(2, INVALID), is(rejected));
    assertThat(tracker.revision(), is(Revision.of(1)));
    assertThat(offer(3, VALID), instanceOf(RevisionOutcome.Applied.class));
  }

  @Test
  void countsRevisionsWithConflictingTexts() {
    offer(1, VALID);
    assertThat(offer(1, OTHER), instanceOf(RevisionOutcome.Conflicting.class));
    assertThat(monitor.violationCount(), is(1L));

    offer(2, INVALID);
    assertThat(offer(2, VALID), instanceOf(RevisionOutcome.Conflicting.class));
    assertThat(monitor.violationCount(), is(2L));
    assertThat(tracker.current().orElseThrow().document(), is(SampleDocument.document()));
  }

  @Test
  void rejectsRevisionZero() {
    assertThrows(IllegalArgumentException.class, () -> offer(0, VALID));
  }

  @Property(seed = "3", tries = 60)
  void endsAtHighestValidRevision(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 8) Integer> offers) {
    tracker = RevisionTracker.of(monitor);
    Map<Integer, String> texts = new HashMap<>();
    int highestValid = 0;
    long lastSeen = 0;
    for (int number : offers) {
      boolean valid = number % 3 != 0;
      offer(number, texts.computeIfAbsent(number, each -> valid ? VALID : INVALID));
      highestValid = valid ? Math.max(highestValid, number) : highestValid;
      assertThat(tracker.revision().number() >= lastSeen, is(true));
      lastSeen = tracker.revision().number();
    }
    assertThat(tracker.revision(), is(Revision.of(highestValid)));
    assertThat(monitor.violationCount(), is(0L));
  }

  private RevisionOutcome offer(long revision, String text) {
    return tracker.offer(Revision.of(revision), "fleet", text);
  }
}
