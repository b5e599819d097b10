package org.knapweedcleat.bench;

/** A policy that is measured. */
enum MeasuredPolicy {
  /** The shipped core. */
  CURRENT("current policy") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return SchedulerPolicy.perDomain(fleet);
    }
  },
  /** Baseline. */
  LEAST_LOAD("least reported load") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return LeastLoadPolicy.of(fleet, seed);
    }
  },
  /** Baseline. */
  FIRST_COME("first come first served") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return FifoPolicy.of(fleet);
    }
  },
  /** Baseline: the current policy with limits that are divided evenly. */
  FIXED_SHARES("fixed 1/N limits") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return SchedulerPolicy.perDomain(fleet);
    }

    @Override
    AccountRateLimiter createLimiter(BenchmarkFleet fleet) {
      return AccountRateLimiter.fixedShares(fleet.document(), fleet.instanceDomains().size());
    }
  },
  /** Baseline: the current policy without schedulers that are shared. */
  ALONE("each instance alone") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return SchedulerPolicy.perInstance(fleet);
    }
  };

  private final String displayName;

  MeasuredPolicy(String title) {
    this.displayName = title;
  }

  String displayName() {
    return displayName;
  }

  abstract PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed);

  AccountRateLimiter createLimiter(BenchmarkFleet fleet) {
    return AccountRateLimiter.fleetWide(fleet.document());
  }

  RunStatistics run(Scenario scenario, long seed, boolean overload) {
    BenchmarkFleet fleet = scenario.fleet();
    return RunStatistics.of(
        Simulation.run(
            fleet,
            scenario,
            createPolicy(fleet, seed),
            createLimiter(fleet),
            WorkloadGenerator.generate(fleet, scenario, seed, overload),
            seed));
  }
}
