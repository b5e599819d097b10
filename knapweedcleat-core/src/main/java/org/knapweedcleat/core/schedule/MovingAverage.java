package org.knapweedcleat.core.schedule;

/** An exponentially weighted moving average. */
final class MovingAverage {

  private final double learningWeight;
  private double value;

  private MovingAverage(double prior, double learningWeight) {
    this.value = prior;
    this.learningWeight = learningWeight;
  }

  static MovingAverage of(double prior, double learningWeight) {
    return new MovingAverage(prior, learningWeight);
  }

  void observe(double sample) {
    value += learningWeight * (sample - value);
  }

  double value() {
    return value;
  }
}
