package org.knapweedcleat.core.id;

import java.util.Objects;

/**
 * Names one run of an instance: a restarted instance is a new incarnation.
 *
 * @param instance the instance
 * @param startNumber a number that rises from run to run
 */
public record IncarnationId(InstanceId instance, long startNumber) {

  /** Checks that the instance is given. */
  public IncarnationId {
    Objects.requireNonNull(instance, "instance");
  }

  /**
   * Returns the id of one run of an instance.
   *
   * @param instance the instance
   * @param startNumber a number that rises from run to run
   * @return the id
   * @throws NullPointerException if the instance is null
   */
  public static IncarnationId of(InstanceId instance, long startNumber) {
    return new IncarnationId(instance, startNumber);
  }

  /**
   * Reads the form that {@link #toString} writes.
   *
   * @param text the instance, a tilde and the hexadecimal start number
   * @return the id
   * @throws IllegalArgumentException if the text has another form
   */
  public static IncarnationId parse(String text) {
    int tilde = text.lastIndexOf('~');
    if (tilde < 1) {
      throw new IllegalArgumentException("not an incarnation: " + text);
    }
    long number = Long.parseUnsignedLong(text.substring(tilde + 1), 16);
    return of(InstanceId.of(text.substring(0, tilde)), number);
  }

  @Override
  public String toString() {
    return instance + "~" + Long.toHexString(startNumber);
  }
}
