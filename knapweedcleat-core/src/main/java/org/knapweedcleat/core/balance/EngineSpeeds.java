package org.knapweedcleat.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Estimates how fast each engine is, relative to the median engine of its service, from what this
 * instance observed and what others reported.
 *
 * <p>Engines that differ little count as equal, exactly. All state is soft: an estimate without new
 * observations expires.
 */
public final class EngineSpeeds {

  /** An engine within this factor of the median counts as equal to it. */
  private static final double EQUAL_FACTOR = 1.3;

  /** Bounds an estimate, so that a wrong one does not exclude an engine. */
  private static final double MAX_FACTOR = 4;

  /** The observations needed to count an engine as slow or fast. */
  private static final int MIN_OBSERVATIONS = 5;

  /** The observations needed to go on doing so, since a slow engine gets few calls. */
  private static final int MIN_CONFIRMING_OBSERVATIONS = 2;

  /**
   * The latest observations of an engine that count: enough to tell a slow engine from those at
   * which two prompts in five wait for others.
   */
  private static final int MAX_OBSERVATIONS = 24;

  /**
   * An engine is counted as slow or fast if chance would do this in fewer comparisons than one in a
   * million. With three quarters of the observations as the limit, equal engines on which prompts
   * queued were taken for slow within a minute (UnevenEnginesTest).
   */
  private static final double MAX_CHANCE = 1e-6;

  /**
   * The number of latest observations for an engine that is counted as slow or fast, so that its
   * recovery shows soon.
   */
  private static final int MAX_CONFIRMING_OBSERVATIONS = 6;

  /** Fewer than the minimum, so that the report of a single instance decides nothing. */
  private static final int MAX_REPORTED_OBSERVATIONS = 3;

  private static final long LIFETIME_MILLIS = 10_000;

  /** Limits the processor time for comparisons; short compared to the time between changes. */
  private static final long COMPARE_INTERVAL_MILLIS = 500;

  private static final String LOCAL = "";

  private final EngineSpeedListener listener;
  private final Map<GroupKey, Group> groups = new HashMap<>();

  /** Engines are compared with those of the same service, by the same measure. */
  private record GroupKey(ServiceId service, SpeedMeasure measure) {}

  private record Observation(double millis, int weight, long atMillis) {}

  /** The latest observations of one instance at one engine. */
  private static final class Series {
    private final Deque<Observation> observations = new ArrayDeque<>();
    private int unreported;

    void add(Observation observation, int limit) {
      observations.addLast(observation);
      while (observations.size() > limit) {
        observations.removeFirst();
      }
      unreported = Math.min(unreported + 1, observations.size());
    }

    long latestMillis() {
      return observations.getLast().atMillis();
    }

    /** Returns the median of the observations that were not reported yet. */
    double unreportedMillis() {
      List<Double> sorted =
          observations.stream()
              .skip(observations.size() - unreported)
              .map(Observation::millis)
              .sorted()
              .toList();
      return sorted.get((sorted.size() - 1) / 2);
    }
  }

  private record Estimate(double factor, int observations, long latestMillis) {}

  private static final class Group {
    private final Map<EndpointId, Map<String, Series>> seriesBySource = new HashMap<>();
    private final Map<EndpointId, Estimate> estimates = new HashMap<>();
    private long comparedAtMillis = Long.MIN_VALUE / 2;

    Series series(String source, EndpointId engine) {
      return seriesBySource
          .computeIfAbsent(engine, key -> new HashMap<>())
          .computeIfAbsent(source, key -> new Series());
    }

    void removeExpired(long nowMillis) {
      seriesBySource
          .values()
          .forEach(
              sources ->
                  sources
                      .values()
                      .removeIf(series -> nowMillis - series.latestMillis() > LIFETIME_MILLIS));
      seriesBySource.values().removeIf(Map::isEmpty);
    }
  }

  private EngineSpeeds(EngineSpeedListener listener) {
    this.listener = listener;
  }

  /**
   * Returns estimates without observations, by which all engines are equal.
   *
   * @param listener is told about engines that become slow, or normal again
   * @return the estimates
   */
  public static EngineSpeeds create(EngineSpeedListener listener) {
    return new EngineSpeeds(listener);
  }

  /**
   * Records an observation of this instance.
   *
   * @param nowMillis the current time
   * @param engine the engine
   * @param measure what was measured
   * @param millis the duration; ignored unless above 0
   */
  public void record(long nowMillis, EndpointEntry engine, SpeedMeasure measure, double millis) {
    if (isDuration(millis)) {
      group(engine.service(), measure)
          .series(LOCAL, engine.id())
          .add(new Observation(millis, 1, nowMillis), MAX_OBSERVATIONS);
    }
  }

  /**
   * Records what another instance has observed, in place of its earlier report on the engine.
   *
   * @param nowMillis the current time
   * @param source the other instance
   * @param report its report; ignored if its values are impossible
   */
  public void recordReport(long nowMillis, IncarnationId source, SpeedReport report) {
    long ageMillis = nowMillis - report.observedAtMillis();
    if (!isDuration(report.millis())
        || report.observations() < 1
        || ageMillis < 0
        || ageMillis > LIFETIME_MILLIS) {
      return;
    }
    int weight = Math.min(MAX_REPORTED_OBSERVATIONS, report.observations());
    group(report.service(), report.measure())
        .series(source.toString(), report.engine())
        .add(new Observation(report.millis(), weight, report.observedAtMillis()), 1);
  }

  /**
   * Removes the reports of an instance that has ended.
   *
   * @param source the instance
   */
  public void forget(IncarnationId source) {
    groups
        .values()
        .forEach(
            group -> {
              group.seriesBySource.values().forEach(sources -> sources.remove(source.toString()));
              group.seriesBySource.values().removeIf(Map::isEmpty);
            });
  }

  /**
   * Returns this instance's new observations, summed up by engine, and counts them as reported.
   *
   * @param nowMillis the current time
   * @param limit the maximum number; the latest observations come first
   * @return the reports
   */
  public List<SpeedReport> takeReports(long nowMillis, int limit) {
    record Unreported(GroupKey key, EndpointId engine, Series series) {}

    List<Unreported> unreported = new ArrayList<>();
    groups.forEach(
        (key, group) ->
            group.seriesBySource.forEach(
                (engine, sources) -> {
                  Series series = sources.get(LOCAL);
                  if (series != null
                      && series.unreported > 0
                      && nowMillis - series.latestMillis() <= LIFETIME_MILLIS) {
                    unreported.add(new Unreported(key, engine, series));
                  }
                }));
    unreported.sort(
        Comparator.comparingLong((Unreported one) -> -one.series().latestMillis())
            .thenComparing(one -> one.engine().value()));
    List<SpeedReport> reports = new ArrayList<>();
    for (Unreported one : unreported.subList(0, Math.min(limit, unreported.size()))) {
      reports.add(
          new SpeedReport(
              one.key().service(),
              one.engine(),
              one.key().measure(),
              one.series().unreportedMillis(),
              one.series().unreported,
              one.series().latestMillis()));
      one.series().unreported = 0;
    }
    return reports;
  }

  /**
   * Returns how many times as long as the median engine an engine takes for a step.
   *
   * @param nowMillis the current time
   * @param engine the engine
   * @return the factor; 1 if it is not known or close to 1
   */
  public double stepFactor(long nowMillis, EndpointEntry engine) {
    return factor(nowMillis, engine, SpeedMeasure.STEP);
  }

  /**
   * Returns how many times as long as the median engine an engine takes to prefill a prompt. Few
   * prompts are prefilled at engines that generate responses; their steps stand in for them.
   *
   * @param nowMillis the current time
   * @param engine the engine
   * @return the factor; 1 if it is not known or close to 1
   */
  public double prefillFactor(long nowMillis, EndpointEntry engine) {
    if (engine.stage() == EndpointStage.PREFILL) {
      return factor(nowMillis, engine, SpeedMeasure.PREFILL);
    }
    return compared(nowMillis, engine.service(), SpeedMeasure.LOCAL_PREFILL)
            .containsKey(engine.id())
        ? factor(nowMillis, engine, SpeedMeasure.LOCAL_PREFILL)
        : stepFactor(nowMillis, engine);
  }

  /**
   * Returns whether an engine is known to be slower than the median engine.
   *
   * @param nowMillis the current time
   * @param engine the engine
   * @return true if any of its factors is above 1
   */
  public boolean isSlow(long nowMillis, EndpointEntry engine) {
    return stepFactor(nowMillis, engine) > 1 || prefillFactor(nowMillis, engine) > 1;
  }

  /**
   * Returns the mean speed of the steps of engines, in multiples of the median engine.
   *
   * @param nowMillis the current time
   * @param engines the engines
   * @return the mean; 1 if there are none
   */
  public double meanStepSpeed(long nowMillis, Collection<EndpointEntry> engines) {
    return engines.stream()
        .mapToDouble(engine -> 1 / stepFactor(nowMillis, engine))
        .average()
        .orElse(1);
  }

  /**
   * Updates all estimates, so that the listener is told of those that expire.
   *
   * @param nowMillis the current time
   */
  public void tick(long nowMillis) {
    groups.forEach((key, group) -> compareIfDue(nowMillis, key, group));
    groups.values().removeIf(group -> group.seriesBySource.isEmpty() && group.estimates.isEmpty());
  }

  private double factor(long nowMillis, EndpointEntry engine, SpeedMeasure measure) {
    Estimate estimate = compared(nowMillis, engine.service(), measure).get(engine.id());
    return estimate == null ? 1 : estimate.factor();
  }

  private Map<EndpointId, Estimate> compared(
      long nowMillis, ServiceId service, SpeedMeasure measure) {
    GroupKey key = new GroupKey(service, measure);
    Group group = groups.get(key);
    if (group == null) {
      return Map.of();
    }
    compareIfDue(nowMillis, key, group);
    return group.estimates;
  }

  private Group group(ServiceId service, SpeedMeasure measure) {
    return groups.computeIfAbsent(new GroupKey(service, measure), key -> new Group());
  }

  private void compareIfDue(long nowMillis, GroupKey key, Group group) {
    if (nowMillis - group.comparedAtMillis < COMPARE_INTERVAL_MILLIS) {
      return;
    }
    group.comparedAtMillis = nowMillis;
    group.removeExpired(nowMillis);
    SpeedComparison comparison = new SpeedComparison(EQUAL_FACTOR);
    group.seriesBySource.forEach(
        (engine, sources) -> addObservations(group, engine, sources, comparison));
    Map<EndpointId, SpeedComparison.Relative> compared = comparison.compare();
    Set<EndpointId> engines = new HashSet<>(group.estimates.keySet());
    engines.addAll(compared.keySet());
    for (EndpointId engine : engines) {
      update(nowMillis, key, group, engine, compared.get(engine));
    }
  }

  /** Adds the observations of an engine, of which the latest count. */
  private static void addObservations(
      Group group, EndpointId engine, Map<String, Series> sources, SpeedComparison comparison) {
    record Sourced(String source, Observation observation) {}

    List<Sourced> latestFirst = new ArrayList<>();
    sources.forEach(
        (source, series) ->
            series.observations.forEach(one -> latestFirst.add(new Sourced(source, one))));
    latestFirst.sort(
        Comparator.comparingLong((Sourced one) -> -one.observation().atMillis())
            .thenComparing(Sourced::source));
    Estimate estimate = group.estimates.get(engine);
    int limit =
        estimate == null || estimate.factor() == 1 ? MAX_OBSERVATIONS : MAX_CONFIRMING_OBSERVATIONS;
    int counted = 0;
    for (Sourced one : latestFirst) {
      Observation observation = one.observation();
      comparison.add(
          one.source(), engine, observation.millis(), observation.weight(), counted < limit);
      counted += observation.weight();
    }
  }

  private void update(
      long nowMillis,
      GroupKey key,
      Group group,
      EndpointId engine,
      SpeedComparison.Relative relative) {
    Estimate previous = group.estimates.get(engine);
    double previousFactor = previous == null ? 1 : previous.factor();
    Estimate next;
    if (relative == null) {
      group.estimates.remove(engine);
      next = new Estimate(1, 0, previous.latestMillis());
    } else {
      long latestMillis =
          group.seriesBySource.get(engine).values().stream()
              .mapToLong(Series::latestMillis)
              .max()
              .orElse(nowMillis);
      next =
          new Estimate(
              countedFactor(previousFactor, relative), relative.observations(), latestMillis);
      group.estimates.put(engine, next);
    }
    if (previousFactor != 1 && next.factor() == 1) {
      // The observations from before the recovery would count again among more of them.
      group.seriesBySource.remove(engine);
    }
    if (previousFactor > 1 != next.factor() > 1) {
      listener.onChange(
          new SpeedChange(
              key.service(),
              engine,
              key.measure(),
              next.factor() > 1,
              next.factor(),
              next.observations(),
              nowMillis - next.latestMillis()));
    }
  }

  /**
   * Returns the factor that counts. An engine becomes slow or fast if so many observations say so
   * that chance is ruled out, also where many prompts wait for others of which this instance does
   * not know. It remains so while half of the observations say so.
   */
  private static double countedFactor(double previousFactor, SpeedComparison.Relative relative) {
    double equal = Math.log(EQUAL_FACTOR);
    double chance = relative.median() > 0 ? relative.slowChance() : relative.fastChance();
    boolean isConfirmed =
        previousFactor != 1
            && previousFactor > 1 == relative.median() > 0
            && relative.observations() >= MIN_CONFIRMING_OBSERVATIONS;
    boolean isFound = relative.observations() >= MIN_OBSERVATIONS && chance < MAX_CHANCE;
    return Math.abs(relative.median()) > equal && (isConfirmed || isFound)
        ? Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, Math.exp(relative.median())))
        : 1;
  }

  private static boolean isDuration(double millis) {
    return Double.isFinite(millis) && millis > 0;
  }
}
