package org.knapweedcleat.core.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into events. Only complete events may be forwarded, because
 * an engine can stop in the middle of one.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id:";

  private final int maxEventBytes;
  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;
  private Optional<String> lastEventId = Optional.empty();

  private EventSplitter(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Returns a splitter for a new stream.
   *
   * @param maxEventBytes the maximum length of an event
   * @return the splitter
   */
  public static EventSplitter of(int maxEventBytes) {
    return new EventSplitter(maxEventBytes);
  }

  /**
   * Appends bytes of the stream.
   *
   * @param bytes the next bytes
   * @return the events completed by these bytes, each including its terminating blank line
   * @throws IllegalArgumentException if an event exceeds the maximum length
   */
  public List<byte[]> append(byte[] bytes) {
    List<byte[]> events = new ArrayList<>();
    for (byte next : bytes) {
      partial.write(next);
      if (next == '\n') {
        if (lineIsEmpty && partial.size() > 1) {
          events.add(completeEvent());
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        lineIsEmpty = false;
      }
      if (partial.size() > maxEventBytes) {
        throw new IllegalArgumentException(
            "event exceeds maximum length of " + maxEventBytes + " bytes");
      }
    }
    return events;
  }

  /**
   * Returns whether the bytes so far end with a complete event.
   *
   * @return false in the middle of an event
   */
  public boolean isAtEventBoundary() {
    return partial.size() == 0;
  }

  /** Discards a partial event whose remainder will not arrive. */
  public void discardPartial() {
    partial.reset();
    lineIsEmpty = true;
  }

  /**
   * Returns the id of the last complete event that had one.
   *
   * @return the id
   */
  public Optional<String> lastEventId() {
    return lastEventId;
  }

  private byte[] completeEvent() {
    byte[] event = partial.toByteArray();
    partial.reset();
    parseId(event).ifPresent(id -> lastEventId = Optional.of(id));
    return event;
  }

  private static Optional<String> parseId(byte[] event) {
    return new String(event, StandardCharsets.ISO_8859_1)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .reduce((first, second) -> second)
        .map(line -> line.substring(ID_FIELD.length()).trim());
  }
}
