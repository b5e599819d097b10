package org.knapweedcleat.core.locality;

import java.util.function.IntSupplier;

/**
 * The bytes that one instance may send between regions: its share of the link's rate, which all
 * instances of its region divide equally without further messages.
 */
public final class LinkBudget {

  /** Unused rate that can be saved, which allows short bursts. */
  private static final double MAX_SAVED_MILLIS = 1_000;

  /** A kilobit per second is this many bytes per millisecond. */
  private static final double BYTES_PER_MILLI_OF_KILOBIT = 0.125;

  private final double bytesPerMilli;
  private final IntSupplier instanceCount;
  private double savedBytes;
  private boolean started;
  private long updatedAtMillis;

  private LinkBudget(int kilobitsPerSecond, IntSupplier instanceCount) {
    this.bytesPerMilli = kilobitsPerSecond * BYTES_PER_MILLI_OF_KILOBIT;
    this.instanceCount = instanceCount;
  }

  /**
   * Returns a budget.
   *
   * @param kilobitsPerSecond the rate of the link; 0 for no limit
   * @param instanceCount supplies the number of instances that share the link
   * @return the budget
   */
  public static LinkBudget of(int kilobitsPerSecond, IntSupplier instanceCount) {
    return new LinkBudget(kilobitsPerSecond, instanceCount);
  }

  /**
   * Returns whether another call may be sent to another region.
   *
   * @param nowMillis the current time
   * @return false while the share of the link is used up
   */
  public boolean isAvailable(long nowMillis) {
    if (bytesPerMilli == 0) {
      return true;
    }
    refill(nowMillis);
    return savedBytes > 0;
  }

  /**
   * Records bytes that are sent to another region. They count even if the share is used up, for
   * calls that only another region can serve.
   *
   * @param nowMillis the current time
   * @param bytes the bytes
   */
  public void charge(long nowMillis, long bytes) {
    if (bytesPerMilli > 0) {
      refill(nowMillis);
      savedBytes = Math.max(-maxSavedBytes(), savedBytes - bytes);
    }
  }

  private void refill(long nowMillis) {
    if (!started) {
      started = true;
      savedBytes = maxSavedBytes();
    } else {
      double earnedBytes = Math.max(0, nowMillis - updatedAtMillis) * shareBytesPerMilli();
      savedBytes = Math.min(maxSavedBytes(), savedBytes + earnedBytes);
    }
    updatedAtMillis = nowMillis;
  }

  private double shareBytesPerMilli() {
    return bytesPerMilli / Math.max(1, instanceCount.getAsInt());
  }

  private double maxSavedBytes() {
    return shareBytesPerMilli() * MAX_SAVED_MILLIS;
  }
}
