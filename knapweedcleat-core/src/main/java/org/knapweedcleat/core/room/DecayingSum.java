package org.knapweedcleat.core.room;

/** A sum whose parts lose weight exponentially with their age. */
final class DecayingSum {

  private final double decayMillis;
  private double sum;
  private long updatedMillis;

  DecayingSum(long decayMillis) {
    this.decayMillis = decayMillis;
  }

  void add(long nowMillis, double amount) {
    sum = value(nowMillis) + amount;
    updatedMillis = Math.max(updatedMillis, nowMillis);
  }

  double value(long nowMillis) {
    return sum * Math.exp(-Math.max(0, nowMillis - updatedMillis) / decayMillis);
  }

  /** Returns the recent amount per millisecond. */
  double perMillis(long nowMillis) {
    return value(nowMillis) / decayMillis;
  }
}
