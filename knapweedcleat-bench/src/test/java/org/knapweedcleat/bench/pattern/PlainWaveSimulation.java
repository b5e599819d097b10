package org.knapweedcleat.bench.pattern;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.bench.pattern.DomainWaves.Measurement;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Simulates plain calls of three failure domains in virtual time, placed by each instance with the
 * last workload reports of the others.
 */
final class PlainWaveSimulation {

  private static final int SLOTS = 8;
  private static final double CALL_MILLIS = 60;
  private static final long TARGET_MILLIS = 300;
  private static final double INTER_DOMAIN_DELAY_MILLIS = 0.9;
  private static final EndpointWorkload ONE_CALL = new EndpointWorkload(1, 0, 0);

  private final Fleet fleet;
  private final Random random;
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final Map<EndpointId, PriorityQueue<Double>> slotsFreeAtMillis = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private Measurement measurement = Measurement.NONE;
  private double nowMillis;
  private long nextNumber;

  /**
   * A fleet.
   *
   * @param instancesPerDomain the instances of each failure domain
   * @param endpointsPerDomain the endpoints of each failure domain
   * @param domainReportMillis the interval between reports within a domain
   * @param reportMillis the interval between reports to other domains
   */
  record Fleet(
      int instancesPerDomain, int endpointsPerDomain, long domainReportMillis, long reportMillis) {

    static final Fleet SMALL = new Fleet(3, 2, 200, 200);
    static final Fleet LARGE = new Fleet(15, 4, 400, 1_000);
  }

  private record Instance(
      FailureDomainId domain,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      EndpointSelector selector) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  PlainWaveSimulation(long seed, Fleet fleet, boolean keepsCallsAtHome) {
    this.fleet = fleet;
    this.random = new Random(seed);
    Random selection = new Random(seed + 1);
    for (FailureDomainId domain : DomainWaves.DOMAINS) {
      for (int i = 0; i < fleet.endpointsPerDomain(); i++) {
        EndpointEntry entry = entry(domain + "-" + i, domain);
        entries.add(entry);
        PriorityQueue<Double> slots = new PriorityQueue<>();
        for (int slot = 0; slot < SLOTS; slot++) {
          slots.add(0.0);
        }
        slotsFreeAtMillis.put(entry.id(), slots);
      }
      for (int i = 0; i < fleet.instancesPerDomain(); i++) {
        WorkloadTracker workload = WorkloadTracker.of(2_500);
        EndpointHealthRegistry health = EndpointHealthRegistry.create();
        EndpointSelector selector =
            EndpointSelector.of(
                DomainWaves.topology(domain),
                workload,
                health,
                selection::nextDouble,
                DomainWaves.filter(keepsCallsAtHome, fleet.reportMillis(), selection));
        instances.add(new Instance(domain, workload, health, selector));
      }
    }
  }

  /** Runs calls that arrive in each domain at the given mean rate. */
  Measurement simulate(long durationMillis, double callsPerSecond) {
    for (FailureDomainId domain : DomainWaves.DOMAINS) {
      double atMillis = 0;
      while (atMillis < durationMillis) {
        atMillis = DomainWaves.nextArrivalMillis(domain, atMillis, callsPerSecond, random);
        schedule(atMillis, () -> call(domain));
      }
    }
    for (long atMillis = 0; atMillis < durationMillis; atMillis += fleet.domainReportMillis()) {
      schedule(atMillis, () -> exchangeReports(true));
    }
    for (long atMillis = 0; atMillis < durationMillis; atMillis += fleet.reportMillis()) {
      schedule(atMillis, () -> exchangeReports(false));
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return measurement;
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextNumber++, action));
  }

  private void exchangeReports(boolean withinDomains) {
    for (Instance receiver : instances) {
      for (int i = 0; i < instances.size(); i++) {
        Instance sender = instances.get(i);
        if (sender != receiver && sender.domain().equals(receiver.domain()) == withinDomains) {
          receiver.workload().update("i" + i, (long) nowMillis, sender.workload().local());
        }
      }
    }
  }

  private void call(FailureDomainId home) {
    int first = DomainWaves.DOMAINS.indexOf(home) * fleet.instancesPerDomain();
    Instance instance = instances.get(first + random.nextInt(fleet.instancesPerDomain()));
    EndpointEntry endpoint =
        instance.selector().selectForPlainCall((long) nowMillis, entries, Set.of()).orElseThrow();
    boolean hasLeft = !endpoint.domain().equals(home);
    PriorityQueue<Double> slots = slotsFreeAtMillis.get(endpoint.id());
    double startMillis = Math.max(slots.poll(), nowMillis);
    double endMillis = startMillis + CALL_MILLIS * (0.5 + random.nextDouble());
    slots.add(endMillis);
    instance.workload().addLocal(endpoint.id(), ONE_CALL);
    double sentMillis = nowMillis;
    double durationMillis = endMillis - nowMillis + (hasLeft ? 2 * INTER_DOMAIN_DELAY_MILLIS : 0);
    schedule(
        endMillis,
        () -> {
          instance.workload().removeLocal(endpoint.id(), ONE_CALL);
          instance
              .health()
              .get(endpoint.id())
              .recordSuccess((long) nowMillis, nowMillis - sentMillis);
          measurement =
              measurement.plusCall(hasLeft, durationMillis, durationMillis > TARGET_MILLIS);
        });
  }

  private static EndpointEntry entry(String id, FailureDomainId domain) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        ServiceId.of("search"),
        "127.0.0.1",
        9000,
        domain,
        EndpointStage.WHOLE,
        SLOTS,
        false);
  }
}
