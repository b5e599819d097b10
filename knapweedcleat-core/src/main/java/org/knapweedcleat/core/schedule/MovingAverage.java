package org.knapweedcleat.core.schedule;

/** An exponentially weighted moving average. */
final class MovingAverage {

  private final double learning;
  private double value;

  private MovingAverage(double prior, double learning) {
    this.value = prior;
    this.learning = learning;
  }

  static MovingAverage of(double prior, double learning) {
    return new MovingAverage(prior, learning);
  }

  void observe(double sample) {
    value += learning * (sample - value);
  }

  double value() {
    return value;
  }
}
