package org.knapweedcleat.bench;

/** A policy that is measured. */
enum Contender {
  /** The shipped core. */
  CURRENT("current policy") {
    @Override
    Policy policy(BenchFleet fleet, long seed) {
      return SchedulerPolicy.shared(fleet);
    }
  },
  /** Baseline. */
  LEAST_LOAD("least reported load") {
    @Override
    Policy policy(BenchFleet fleet, long seed) {
      return LeastLoadPolicy.of(fleet, seed);
    }
  },
  /** Baseline. */
  FIRST_COME("first come first served") {
    @Override
    Policy policy(BenchFleet fleet, long seed) {
      return FirstComePolicy.of(fleet);
    }
  },
  /** Baseline: the current policy with limits that are divided evenly. */
  FIXED_SHARES("fixed 1/N limits") {
    @Override
    Policy policy(BenchFleet fleet, long seed) {
      return SchedulerPolicy.shared(fleet);
    }

    @Override
    Limits limits(BenchFleet fleet) {
      return Limits.fixedShares(fleet.document(), fleet.instanceDomains().size());
    }
  },
  /** Baseline: the current policy without schedulers that are shared. */
  ALONE("each instance alone") {
    @Override
    Policy policy(BenchFleet fleet, long seed) {
      return SchedulerPolicy.alone(fleet);
    }
  };

  private final String title;

  Contender(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  abstract Policy policy(BenchFleet fleet, long seed);

  Limits limits(BenchFleet fleet) {
    return Limits.exact(fleet.document());
  }

  Figures measure(Scenario scenario, long seed, boolean greedy) {
    BenchFleet fleet = scenario.fleet();
    return Figures.of(
        Simulation.run(
            fleet,
            scenario,
            policy(fleet, seed),
            limits(fleet),
            Workload.draw(fleet, scenario, seed, greedy),
            seed));
  }
}
