package org.knapweedcleat.core.schedule;

/** A linear regression with exponentially decaying weights and a non-negative slope. */
final class LinearFit {

  private static final double PRIOR_WEIGHT = 2;

  private final double decay;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;

  private LinearFit(double decay) {
    this.decay = decay;
  }

  /** Returns a fit that starts as the given line, weighted as observations at two points. */
  static LinearFit through(double base, double slope, double x1, double x2, double learningWeight) {
    LinearFit fit = new LinearFit(1 - learningWeight);
    fit.add(x1, base + slope * x1, PRIOR_WEIGHT);
    fit.add(x2, base + slope * x2, PRIOR_WEIGHT);
    return fit;
  }

  void observe(double x, double y) {
    weight *= decay;
    sumX *= decay;
    sumY *= decay;
    sumXx *= decay;
    sumXy *= decay;
    add(x, y, 1);
  }

  double predict(double x) {
    double slope = slope();
    return (sumY - slope * sumX) / weight + slope * x;
  }

  private double slope() {
    double spread = sumXx - sumX * sumX / weight;
    if (spread < 1) {
      return 0;
    }
    return Math.max(0, (sumXy - sumX * sumY / weight) / spread);
  }

  private void add(double x, double y, double observationWeight) {
    weight += observationWeight;
    sumX += observationWeight * x;
    sumY += observationWeight * y;
    sumXx += observationWeight * x * x;
    sumXy += observationWeight * x * y;
  }
}
