package org.knapweedcleat.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in virtual time, ordered by time and, for equal times, by insertion. */
final class EventQueue {

  private static final long MICROS_PER_MILLI = 1_000;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequenceNumber));
  private long nowMicros;
  private long nextSequenceNumber;

  private EventQueue() {}

  static EventQueue create() {
    return new EventQueue();
  }

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  void scheduleAt(long atMicros, Runnable task) {
    events.add(new Event(Math.max(atMicros, nowMicros), nextSequenceNumber++, task));
  }

  void scheduleAfter(long delayMicros, Runnable task) {
    scheduleAt(nowMicros + delayMicros, task);
  }

  void scheduleAfterMillis(long delayMillis, Runnable task) {
    scheduleAfter(delayMillis * MICROS_PER_MILLI, task);
  }

  /** Runs a task now and then at each interval. */
  void repeatEveryMillis(long intervalMillis, Runnable task) {
    task.run();
    scheduleAfterMillis(intervalMillis, () -> repeatEveryMillis(intervalMillis, task));
  }

  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
      Event event = events.poll();
      nowMicros = event.atMicros();
      event.task().run();
    }
  }

  private record Event(long atMicros, long sequenceNumber, Runnable task) {}
}
