package org.knapweedcleat.core.id;

import java.util.Objects;

/**
 * The id of one run of an instance. A restarted instance is a new incarnation.
 *
 * @param instance the instance
 * @param startNumber a number that is higher for each later run
 */
public record IncarnationId(InstanceId instance, long startNumber) {

  /** Checks that the instance is not null. */
  public IncarnationId {
    Objects.requireNonNull(instance, "instance");
  }

  /**
   * Returns the id of one run of an instance.
   *
   * @param instance the instance
   * @param startNumber a number that is higher for each later run
   * @return the id
   * @throws NullPointerException if the instance is null
   */
  public static IncarnationId of(InstanceId instance, long startNumber) {
    return new IncarnationId(instance, startNumber);
  }

  /**
   * Parses the format that {@link #toString} writes.
   *
   * @param text the instance id, a tilde and the hexadecimal start number
   * @return the id
   * @throws IllegalArgumentException if the text is malformed
   */
  public static IncarnationId parse(String text) {
    int separator = text.lastIndexOf('~');
    if (separator < 1) {
      throw new IllegalArgumentException("malformed incarnation id: " + text);
    }
    long startNumber = Long.parseUnsignedLong(text.substring(separator + 1), 16);
    return of(InstanceId.of(text.substring(0, separator)), startNumber);
  }

  @Override
  public String toString() {
    return instance + "~" + Long.toHexString(startNumber);
  }
}
