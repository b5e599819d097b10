package org.knapweedcleat.bench;

import java.util.Locale;

/** What happens in a run. */
enum Scenario {
  /** The school's peak: a third more than the rates for a minute. */
  SCHOOL_PEAK,
  /** Most requests are the kiosk's, whose late replies count as failures. */
  KIOSK,
  /** The co-operative's peak. */
  COOPERATIVE_PEAK {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }
  },
  /** One large client account sends five times its rate. */
  ONE_ACCOUNT_FIVE_TIMES {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }
  },
  /** One engine of six is lost at the peak. */
  ENGINE_LOST {
    @Override
    BenchmarkFleet fleet() {
      return BenchmarkFleet.cooperative();
    }

    @Override
    void scheduleFaults(Simulation simulation) {
      simulation.events().scheduleAfterMillis(FAULT_AT_MILLIS, () -> simulation.engines().failEngine(LOST_ENGINE));
    }
  },
  /** Other traffic fills the link between the regions. */
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
  /** Load reports come seconds late. */
  LOAD_LAG {
    @Override
    EngineParameters engineParameters() {
      return EngineParameters.defaults().withReportLag(LONG_REPORT_LAG_MILLIS);
    }
  },
  /** No cache event arrives. */
  CACHE_EVENTS_LOST {
    @Override
    double cacheEventLossRate() {
      return 1;
    }
  },
  /** The instance that schedules for the largest failure domain is paused at the peak. */
  INSTANCE_PAUSED {
    @Override
    void scheduleFaults(Simulation simulation) {
      simulation
          .events()
          .scheduleAfterMillis(FAULT_AT_MILLIS, () -> simulation.instances().pause(0, PAUSE_MILLIS));
    }
  },
  /** All instances are replaced one after the other at the peak. */
  INSTANCES_REPLACED {
    @Override
    void scheduleFaults(Simulation simulation) {
      for (int step = 0; step < REPLACEMENTS; step++) {
        long atMillis = FAULT_AT_MILLIS + step * REPLACEMENT_INTERVAL_MILLIS;
        simulation.events().scheduleAfterMillis(atMillis, () -> simulation.instances().replaceSchedulers());
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

  /** Returns what part of the link between the regions is free. */
  double freeRegionLinkFraction() {
    return 1;
  }

  double cacheEventLossRate() {
    return DEFAULT_CACHE_EVENT_LOSS_RATE;
  }

  /** Plans the faults of a run. */
  void scheduleFaults(Simulation simulation) {}
}
