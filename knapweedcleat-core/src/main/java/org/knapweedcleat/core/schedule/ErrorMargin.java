package org.knapweedcleat.core.schedule;

/** Learns the margin to add to estimates so that a given quantile of actual times is covered. */
final class ErrorMargin {

  private static final double STEP_MILLIS = 8;

  private final double quantile;
  private double marginMillis;

  private ErrorMargin(double quantile) {
    this.quantile = quantile;
  }

  static ErrorMargin of(double quantile) {
    return new ErrorMargin(quantile);
  }

  void observe(double estimatedMillis, double actualMillis) {
    boolean exceeded = actualMillis > estimatedMillis + marginMillis;
    double step = exceeded ? quantile : quantile - 1;
    marginMillis = Math.max(0, marginMillis + STEP_MILLIS * step);
  }

  double millis() {
    return marginMillis;
  }
}
