package org.knapweedcleat.router.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.audit.AuditTrail;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Audit trail that retains the latest events and logs each event as one line of JSON. */
public final class RingAuditTrail implements AuditTrail {

  /** The name of the logger that receives the JSON lines. */
  public static final String LOGGER_NAME = "audit";

  private static final int MAX_PAGE_ENTRIES = 500;
  private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

  private final int capacity;
  private final LongSupplier clockMillis;
  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private long lastNumber;

  private RingAuditTrail(int capacity, LongSupplier clockMillis) {
    this.capacity = capacity;
    this.clockMillis = clockMillis;
  }

  /**
   * Returns an empty trail.
   *
   * @param capacity the maximum number of retained events, at least 1
   * @param clockMillis the wall clock, in milliseconds since the Unix epoch
   * @return the trail
   * @throws IllegalArgumentException if the capacity is below 1
   */
  public static RingAuditTrail of(int capacity, LongSupplier clockMillis) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity below 1: " + capacity);
    }
    return new RingAuditTrail(capacity, Objects.requireNonNull(clockMillis, "clockMillis"));
  }

  @Override
  public synchronized void record(AuditEvent event) {
    lastNumber++;
    AuditEntry entry = new AuditEntry(lastNumber, clockMillis.getAsLong(), event);
    entries.addLast(entry);
    if (entries.size() > capacity) {
      entries.removeFirst();
    }
    LOG.info(OperatorJson.toJsonLine(entry));
  }

  /**
   * Reads the events that follow a sequence number.
   *
   * @param after the number of the last event already read, 0 for none
   * @return a page of at most 500 events, oldest first
   */
  public synchronized AuditPage read(long after) {
    List<AuditEntry> page =
        entries.stream().filter(entry -> entry.number() > after).limit(MAX_PAGE_ENTRIES).toList();
    long firstKept = entries.isEmpty() ? lastNumber + 1 : entries.getFirst().number();
    long missed = Math.max(0, firstKept - 1 - Math.max(0, after));
    long next = page.isEmpty() ? lastNumber : page.get(page.size() - 1).number();
    return new AuditPage(next, missed, page);
  }
}
