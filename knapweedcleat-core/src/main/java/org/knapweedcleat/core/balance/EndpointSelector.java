package org.knapweedcleat.core.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/** Chooses where a call runs, by the time until its answer that the known work lets expect. */
public final class EndpointSelector {

  /** Assumed time of a plain call until some have ended. */
  private static final double DEFAULT_PLAIN_CALL_MILLIS = 60;

  /** What a share of failures costs: a failed call is lost or starts again after about that. */
  private static final double FAILURE_PENALTY_MILLIS = 1_500;

  /** Expected times within this part of each other count as alike, so that instances spread. */
  private static final double JITTER = 0.1;

  /** How much a full decode engine is slower than an empty one, over the tokens of an answer. */
  private static final double FULL_ENGINE_PENALTY_MILLIS = 200;

  /**
   * What a prompt that a full decode engine reads itself takes from the requests that run there: as
   * much as half of a request's own tokens.
   */
  private static final double LOCAL_PREFILL_PENALTY_MILLIS = 300;

  /** The time between two events of a running stream when its engine reads nothing. */
  private static final double EVENT_INTERVAL_MILLIS = 80;

  /**
   * Of more engines than this one is drawn at random instead of the best: many instances whose news
   * of each other is old would else all choose the few that seemed best.
   */
  private static final int MAX_COMPARED = 8;

  /** The free part of the memory that a full engine counts as having when engines are drawn. */
  private static final double MIN_FREE_FRACTION = 0.01;

  /** How steeply free memory counts when engines are drawn. */
  private static final double FREE_MEMORY_EXPONENT = 1.5;

  /** How many of the best engines of each stage are tried in pairs. */
  private static final int PAIR_CANDIDATES = 5;

  private final DomainTopology topology;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final DoubleSupplier random;
  private final Map<ServiceId, PrefillTimeEstimator> estimators = new HashMap<>();

  private EndpointSelector(
      DomainTopology domains, WorkloadTracker work, EndpointHealthRegistry health, DoubleSupplier random) {
    this.topology = domains;
    this.workload = work;
    this.health = health;
    this.random = random;
  }

  /**
   * Returns a chooser.
   *
   * @param domains the failure domains
   * @param work the work at each endpoint
   * @param health the health of each endpoint
   * @param random gives numbers from 0 up to but not including 1
   * @return the chooser
   */
  public static EndpointSelector of(
      DomainTopology domains, WorkloadTracker work, EndpointHealthRegistry health, DoubleSupplier random) {
    return new EndpointSelector(domains, work, health, random);
  }

  /**
   * Returns the learned speed of a service's engines.
   *
   * @param service the service
   * @return the speed
   */
  public PrefillTimeEstimator prefillTimeEstimator(ServiceId service) {
    return estimators.computeIfAbsent(service, id -> PrefillTimeEstimator.initial());
  }

  /**
   * Chooses an endpoint for a plain call.
   *
   * @param nowMillis the time
   * @param candidates the endpoints that take work
   * @param tried the endpoints that have failed this call, used only if there is no other
   * @return the endpoint, if there is any
   */
  public Optional<EndpointEntry> selectForPlainCall(
      long nowMillis, List<EndpointEntry> candidates, Set<EndpointId> tried) {
    ToDoubleFunction<EndpointEntry> millis =
        entry -> plainMillis(nowMillis, entry) + penaltyMillis(nowMillis, entry);
    return rank(
            nowMillis,
            reachable(candidates),
            tried,
            millis,
            Optional.of(entry -> 1 / millis.applyAsDouble(entry)))
        .stream()
        .findFirst();
  }

  /**
   * Places a streamed request by work that is partly known late: one of many engines is drawn.
   *
   * @param nowMillis the time
   * @param candidates the engines that take work
   * @param tried the engines that have failed this request, used only if there is no other
   * @param profile what an engine holds
   * @param need what the request needs
   * @return the placement; empty if no engine that runs requests has room
   */
  public Optional<StreamPlacement> placeStreamByWeight(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements need) {
    return place(
        nowMillis,
        candidates,
        tried,
        profile,
        need,
        Optional.of(entry -> decodeWeight(nowMillis, entry, profile)),
        Optional.of(
            entry -> need.promptTokens() / prefillMillis(nowMillis, entry, need.promptTokens())));
  }

  /**
   * Places a streamed request by work that is known exactly: the best engines are chosen.
   *
   * @param nowMillis the time
   * @param candidates the engines that take work
   * @param tried the engines that have failed this request, used only if there is no other
   * @param profile what an engine holds
   * @param need what the request needs
   * @return the placement; empty if no engine that runs requests has room
   */
  public Optional<StreamPlacement> placeStreamOnBest(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements need) {
    return place(nowMillis, candidates, tried, profile, need, Optional.empty(), Optional.empty());
  }

  private Optional<StreamPlacement> place(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements need,
      Optional<ToDoubleFunction<EndpointEntry>> decodeWeight,
      Optional<ToDoubleFunction<EndpointEntry>> readWeight) {
    long promptTokens = need.promptTokens();
    List<EndpointEntry> reachable = reachable(candidates);
    List<EndpointEntry> decoders =
        reachable.stream()
            .filter(entry -> entry.stage().runsRequests())
            .filter(entry -> need.ignoresCapacity() || hasCapacity(nowMillis, entry, profile, need))
            .toList();
    List<EndpointEntry> nearDecoders =
        rank(
            nowMillis,
            decoders,
            tried,
            entry -> decodeMillis(nowMillis, entry, profile),
            decodeWeight);
    List<EndpointEntry> readers =
        need.allowsSplit()
            ? rank(
                nowMillis,
                reachable.stream()
                    .filter(entry -> entry.stage() == EndpointStage.PREFILL)
                    .filter(entry -> !need.failedPrefillEngines().contains(entry.id()))
                    .toList(),
                tried,
                entry -> prefillMillis(nowMillis, entry, promptTokens),
                readWeight)
            : List.of();
    return nearDecoders.stream()
        .limit(PAIR_CANDIDATES)
        .flatMap(
            decode ->
                Stream.concat(
                    readers.isEmpty() || canPrefillLocally(nowMillis, decode, need)
                        ? Stream.of(decodeOnlyPlacement(nowMillis, decode, profile, promptTokens))
                        : Stream.empty(),
                    readers.stream()
                        .limit(PAIR_CANDIDATES)
                        .map(reader -> splitPlacement(nowMillis, reader, decode, profile, promptTokens))))
        .min(Comparator.comparingDouble(StreamPlacement::expectedFirstEventMillis));
  }

  /** Leaves out what is out of reach, also if the rest is full, unless nothing is in reach. */
  private List<EndpointEntry> reachable(List<EndpointEntry> candidates) {
    List<EndpointEntry> reachable =
        candidates.stream().filter(entry -> !health.get(entry.id()).isUnreachable()).toList();
    return reachable.isEmpty() ? candidates : reachable;
  }

  /**
   * Tells whether a decode engine can read a prompt itself without a pause in the streams that run
   * there that their callers take as late, even if it reads all that waits in one piece. Also an
   * engine that seems to run none may run those of instances that were not heard yet.
   */
  private boolean canPrefillLocally(long nowMillis, EndpointEntry decode, StreamRequirements need) {
    if (need.maxGapMillis() == 0) {
      return true;
    }
    long ahead = workload.total(decode.id(), nowMillis).promptTokens();
    double readMillis = prefillTimeEstimator(decode.service()).onDecodeEngineMillis(ahead + need.promptTokens());
    return EVENT_INTERVAL_MILLIS + readMillis <= need.maxGapMillis();
  }

  private StreamPlacement decodeOnlyPlacement(
      long nowMillis, EndpointEntry decode, EngineProfile profile, long promptTokens) {
    EndpointWorkload there = workload.total(decode.id(), nowMillis);
    double millis =
        decodeMillis(nowMillis, decode, profile)
            + LOCAL_PREFILL_PENALTY_MILLIS * memoryFraction(there, profile)
            + prefillTimeEstimator(decode.service()).onDecodeEngineMillis(there.promptTokens() + promptTokens);
    return new StreamPlacement(Optional.empty(), decode, millis);
  }

  private StreamPlacement splitPlacement(
      long nowMillis,
      EndpointEntry reader,
      EndpointEntry decode,
      EngineProfile profile,
      long promptTokens) {
    double millis =
        prefillMillis(nowMillis, reader, promptTokens)
            + topology.distanceBetween(reader.domain(), decode.domain()).transferCostMillis()
            + decodeMillis(nowMillis, decode, profile);
    return new StreamPlacement(Optional.of(reader), decode, millis);
  }

  private boolean hasCapacity(
      long nowMillis, EndpointEntry entry, EngineProfile profile, StreamRequirements need) {
    EndpointWorkload there = workload.total(entry.id(), nowMillis);
    return there.calls() < profile.slots()
        && there.memoryTokens() + need.memoryTokens()
            <= profile.memoryTokens() * need.usableMemoryFraction();
  }

  private double plainMillis(long nowMillis, EndpointEntry entry) {
    int calls = workload.total(entry.id(), nowMillis).calls();
    double callMillis = health.get(entry.id()).meanDurationMillis(DEFAULT_PLAIN_CALL_MILLIS);
    double waiting = Math.max(0, calls + 1 - entry.slots());
    double busy = (double) Math.min(calls, entry.slots()) / Math.max(1, entry.slots());
    return callMillis * (1 + busy / 2 + waiting / Math.max(1, entry.slots()));
  }

  private double prefillMillis(long nowMillis, EndpointEntry entry, long promptTokens) {
    long ahead = workload.total(entry.id(), nowMillis).promptTokens();
    return prefillTimeEstimator(entry.service()).onPrefillEngineMillis(ahead + promptTokens)
        + penaltyMillis(nowMillis, entry);
  }

  private double decodeMillis(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    EndpointWorkload there = workload.total(entry.id(), nowMillis);
    return FULL_ENGINE_PENALTY_MILLIS * memoryFraction(there, profile) + penaltyMillis(nowMillis, entry);
  }

  /** Returns what an endpoint's distance and its failures add to the time of any call. */
  private double penaltyMillis(long nowMillis, EndpointEntry entry) {
    return topology.distanceToLocal(entry.domain()).roundTripMillis()
        + FAILURE_PENALTY_MILLIS * health.get(entry.id()).failureRate(nowMillis);
  }

  /** Returns the part of an engine's memory that is taken. */
  private static double memoryFraction(EndpointWorkload work, EngineProfile profile) {
    return (double) work.memoryTokens() / Math.max(1, profile.memoryTokens());
  }

  /** Draws one of many endpoints by weight, of the own region if it has any. */
  private List<EndpointEntry> sampleIfMany(
      List<EndpointEntry> usable, ToDoubleFunction<EndpointEntry> weight) {
    if (usable.size() <= MAX_COMPARED) {
      return usable;
    }
    List<EndpointEntry> near =
        usable.stream()
            .filter(entry -> topology.distanceToLocal(entry.domain()) != NetworkDistance.OTHER_REGION)
            .toList();
    return List.of(sample(near.isEmpty() ? usable : near, weight));
  }

  private EndpointEntry sample(List<EndpointEntry> from, ToDoubleFunction<EndpointEntry> weight) {
    double[] weights = from.stream().mapToDouble(weight).toArray();
    double left = DoubleStream.of(weights).sum() * random.getAsDouble();
    for (int i = 0; i < weights.length; i++) {
      left -= weights[i];
      if (left < 0) {
        return from.get(i);
      }
    }
    return from.get(from.size() - 1);
  }

  /** Returns the weight of a decode engine when one is drawn: its free memory, and its detours. */
  private double decodeWeight(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    double free = Math.max(MIN_FREE_FRACTION, 1 - memoryFraction(workload.total(entry.id(), nowMillis), profile));
    return Math.pow(free, FREE_MEMORY_EXPONENT) / (FULL_ENGINE_PENALTY_MILLIS + penaltyMillis(nowMillis, entry));
  }

  /** Sorts by expected time; endpoints that are not trusted stand in only for none. */
  private List<EndpointEntry> rank(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      ToDoubleFunction<EndpointEntry> millis,
      Optional<ToDoubleFunction<EndpointEntry>> weight) {
    List<EndpointEntry> trusted =
        candidates.stream()
            .filter(entry -> !tried.contains(entry.id()))
            .filter(entry -> health.get(entry.id()).acceptsCall(nowMillis))
            .toList();
    List<EndpointEntry> untried =
        candidates.stream().filter(entry -> !tried.contains(entry.id())).toList();
    List<EndpointEntry> usable = trusted.isEmpty() ? untried : trusted;
    if (usable.isEmpty()) {
      usable = candidates;
    }
    if (weight.isPresent()) {
      usable = sampleIfMany(usable, weight.get());
    }
    Map<EndpointEntry, Double> expected = new HashMap<>();
    usable.forEach(
        entry ->
            expected.put(entry, millis.applyAsDouble(entry) * (1 + JITTER * random.getAsDouble())));
    return usable.stream().sorted(Comparator.comparingDouble(expected::get)).toList();
  }
}
