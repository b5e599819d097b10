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
    BenchFleet fleet() {
      return BenchFleet.cooperative();
    }
  },
  /** One large client account sends five times its rate. */
  ONE_ACCOUNT_FIVE_TIMES {
    @Override
    BenchFleet fleet() {
      return BenchFleet.cooperative();
    }
  },
  /** One engine of six is lost at the peak. */
  ENGINE_LOST {
    @Override
    BenchFleet fleet() {
      return BenchFleet.cooperative();
    }

    @Override
    void disturb(Simulation simulation) {
      simulation.events().afterMillis(FAULT_MILLIS, () -> simulation.engines().lose(LOST_ENGINE));
    }
  },
  /** Other traffic fills the link between the regions. */
  LINK_FULL {
    @Override
    BenchFleet fleet() {
      return BenchFleet.cooperative();
    }

    @Override
    double regionLinkShare() {
      return FULL_LINK_SHARE;
    }
  },
  /** Load reports come seconds late. */
  LOAD_LAG {
    @Override
    EngineSpeeds speeds() {
      return EngineSpeeds.standard().withReportLag(LONG_REPORT_LAG_MILLIS);
    }
  },
  /** No cache event arrives. */
  CACHE_EVENTS_LOST {
    @Override
    double cacheEventLoss() {
      return 1;
    }
  },
  /** The instance that schedules for the largest failure domain is paused at the peak. */
  INSTANCE_PAUSED {
    @Override
    void disturb(Simulation simulation) {
      simulation
          .events()
          .afterMillis(FAULT_MILLIS, () -> simulation.instances().pause(0, PAUSE_MILLIS));
    }
  },
  /** All instances are replaced one after the other at the peak. */
  INSTANCES_REPLACED {
    @Override
    void disturb(Simulation simulation) {
      for (int step = 0; step < REPLACEMENTS; step++) {
        long atMillis = FAULT_MILLIS + step * REPLACEMENT_MILLIS;
        simulation.events().afterMillis(atMillis, () -> simulation.instances().replaceSchedulers());
      }
    }
  };

  private static final long FAULT_MILLIS = 75_000;
  private static final long PAUSE_MILLIS = 5_000;
  private static final long REPLACEMENT_MILLIS = 10_000;
  private static final int REPLACEMENTS = 3;
  private static final int LONG_REPORT_LAG_MILLIS = 3_000;
  private static final double FULL_LINK_SHARE = 0.02;
  private static final double USUAL_CACHE_EVENT_LOSS = 0.05;
  private static final String LOST_ENGINE = "palmira-decode-1";

  static Scenario parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  String title() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  BenchFleet fleet() {
    return BenchFleet.school();
  }

  EngineSpeeds speeds() {
    return EngineSpeeds.standard();
  }

  /** Returns what part of the link between the regions is free. */
  double regionLinkShare() {
    return 1;
  }

  double cacheEventLoss() {
    return USUAL_CACHE_EVENT_LOSS;
  }

  /** Plans the faults of a run. */
  void disturb(Simulation simulation) {}
}
