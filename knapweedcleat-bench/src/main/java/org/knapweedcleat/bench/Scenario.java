package org.knapweedcleat.bench;

import java.util.Locale;

/** The fleet, the load and the faults of a run. */
enum Scenario {
  /** The school fleet with a load 30 % above the account rates for a minute. */
  SCHOOL_PEAK,
  /** Most requests are for the kiosk service, whose late replies count as failures. */
  KIOSK,
  /** The cooperative fleet with a load 30 % above the account rates for a minute. */
  COOPERATIVE_PEAK {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }
  },
  /** The second-largest client account sends five times its rate. */
  ONE_ACCOUNT_FIVE_TIMES {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }
  },
  /** One of six engines fails at the peak. */
  ENGINE_LOST {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }

    @Override
    void scheduleFaults(Simulation simulation) {
      simulation
          .events()
          .scheduleAfterMillis(FAULT_AT_MILLIS, () -> simulation.engines().failEngine(LOST_ENGINE));
    }
  },
  /** Other traffic leaves 2 % of the link between the regions free. */
  LINK_FULL {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }

    @Override
    double freeRegionLinkFraction() {
      return FULL_LINK_FREE_FRACTION;
    }
  },
  /** Load reports arrive three seconds late. */
  LOAD_LAG {
    @Override
    EngineParameters engineParameters() {
      return EngineParameters.defaults().withReportLag(LONG_REPORT_LAG_MILLIS);
    }
  },
  /** All cache events are lost. */
  CACHE_EVENTS_LOST {
    @Override
    double cacheEventLossRate() {
      return 1;
    }
  },
  /** The scheduling instance of the largest failure domain is paused at the peak. */
  INSTANCE_PAUSED {
    @Override
    void scheduleFaults(Simulation simulation) {
      simulation
          .events()
          .scheduleAfterMillis(
              FAULT_AT_MILLIS, () -> simulation.instances().pause(0, PAUSE_MILLIS));
    }
  },
  /** A rolling replacement of the instances at the peak moves all schedulers three times. */
  INSTANCES_REPLACED {
    @Override
    void scheduleFaults(Simulation simulation) {
      for (int step = 0; step < REPLACEMENTS; step++) {
        long atMillis = FAULT_AT_MILLIS + step * REPLACEMENT_INTERVAL_MILLIS;
        simulation
            .events()
            .scheduleAfterMillis(atMillis, () -> simulation.instances().replaceSchedulers());
      }
    }
  };

  private static final long FAULT_AT_MILLIS = 75_000;
  private static final long PAUSE_MILLIS = 5_000;
  private static final long REPLACEMENT_INTERVAL_MILLIS = 10_000;
  private static final int REPLACEMENTS = 3;
  private static final int LONG_REPORT_LAG_MILLIS = 3_000;
  private static final double FULL_LINK_FREE_FRACTION = 0.02;
  private static final double DEFAULT_CACHE_EVENT_LOSS_RATE = 0.05;
  private static final String LOST_ENGINE = "palmira-decode-1";

  static Scenario parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  String displayName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  BenchmarkFleet fleet() {
    return BenchmarkFleet.school();
  }

  EngineParameters engineParameters() {
    return EngineParameters.defaults();
  }

  /** Returns the free fraction of the link between the regions. */
  double freeRegionLinkFraction() {
    return 1;
  }

  double cacheEventLossRate() {
    return DEFAULT_CACHE_EVENT_LOSS_RATE;
  }

  /** Schedules the faults of a run. */
  void scheduleFaults(Simulation simulation) {}
}
