package org.knapweedcleat.core.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream into whole events, which alone may be passed on: an engine can
 * stop in the middle of one.
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
   * Returns a splitter at the beginning of a stream.
   *
   * @param maxEventBytes the longest event that is accepted
   * @return the splitter
   */
  public static EventSplitter of(int maxEventBytes) {
    return new EventSplitter(maxEventBytes);
  }

  /**
   * Takes bytes.
   *
   * @param bytes the next bytes of the stream
   * @return the events that are whole with them, each with the blank line that ends it
   * @throws IllegalArgumentException if an event is too long
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
        throw new IllegalArgumentException("an event is longer than " + maxEventBytes + " bytes");
      }
    }
    return events;
  }

  /**
   * Tells whether the stream may end here.
   *
   * @return false in the middle of an event
   */
  public boolean isAtEventBoundary() {
    return partial.size() == 0;
  }

  /** Drops the beginning of an event whose end will not come. */
  public void discardPartial() {
    partial.reset();
    lineIsEmpty = true;
  }

  /**
   * Returns the id of the last whole event that had one.
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
