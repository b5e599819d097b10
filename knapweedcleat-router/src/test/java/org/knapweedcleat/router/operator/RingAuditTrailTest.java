package org.knapweedcleat.router.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.lang.reflect.RecordComponent;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.id.AccountId;
import org.slf4j.LoggerFactory;

class RingAuditTrailTest {

  private static final List<String> ENTRY_NAMES = List.of("number", "atMillis", "kind");

  @Property(seed = "5", tries = 100)
  void countsEveryEventAsReadOrMissed(
      @ForAll @IntRange(min = 1, max = 9) int capacity,
      @ForAll @IntRange(max = 20) int recorded,
      @ForAll @IntRange(max = 20) int after) {
    RingAuditTrail trail = RingAuditTrail.of(capacity, () -> 0);
    LongStream.range(0, recorded).forEach(ignored -> trail.record(new AuditEvent.DrainStarted()));

    AuditPage page = trail.read(after);

    assertThat(page.missed() + page.entries().size(), is((long) Math.max(0, recorded - after)));
    assertThat(page.next(), is((long) recorded));
    assertThat(trail.read(page.next()).entries().isEmpty(), is(true));
  }

  @Test
  void writesEachEventAsOneJsonLine() {
    Logger logger = (Logger) LoggerFactory.getLogger(RingAuditTrail.LOGGER_NAME);
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    logger.addAppender(appender);
    try {
      RingAuditTrail.of(1, () -> 9)
          .record(new AuditEvent.KeyWithdrawn("desk-1\n", AccountId.of("desk"), 2));
    } finally {
      logger.detachAppender(appender);
    }

    assertThat(
        appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList(),
        contains(
            "{\"number\":1,\"atMillis\":9,\"kind\":\"KEY_WITHDRAWN\",\"name\":\"desk-1\\n\","
                + "\"account\":\"desk\",\"streamsEnded\":2}"));
  }

  @Test
  void noEventComponentCollidesWithEntryNames() {
    for (Class<?> event : AuditEvent.class.getPermittedSubclasses()) {
      List<String> names =
          Stream.of(event.getRecordComponents()).map(RecordComponent::getName).toList();
      assertThat(event.getSimpleName(), Collections.disjoint(names, ENTRY_NAMES), is(true));
    }
  }

  @Test
  void rejectsCapacityBelowOne() {
    assertThrows(IllegalArgumentException.class, () -> RingAuditTrail.of(0, () -> 0));
  }
}
