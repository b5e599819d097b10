package org.knapweedcleat.bench;

/** A placement policy and rate limiter to compare. */
enum MeasuredPolicy {
  /** The core's scheduler, one for each failure domain, with exact limits. */
  CURRENT("current policy") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return SchedulerPolicy.perDomain(fleet);
    }
  },
  /** Baseline: {@link LeastLoadPolicy}. */
  LEAST_LOAD("least reported load") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return LeastLoadPolicy.of(fleet, seed);
    }
  },
  /** Baseline: {@link FifoPolicy}. */
  FIRST_COME("first come first served") {
    @Override
    PlacementPolicy createPolicy(BenchmarkFleet fleet, long seed) {
      return FifoPolicy.of(fleet);
    }
  },
  /** Baseline: the current policy with limits divided evenly among the instances. */
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
  /** Baseline: the current policy with a separate scheduler for each instance. */
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
