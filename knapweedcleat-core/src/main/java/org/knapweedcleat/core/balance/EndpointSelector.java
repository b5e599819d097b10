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
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Selects the endpoints for a call by expected response time, estimated from known workload,
 * distance and health.
 */
public final class EndpointSelector {

  /** Assumed duration of a plain call until one has been measured. */
  private static final double DEFAULT_PLAIN_CALL_MILLIS = 60;

  /** Penalty for a failure rate of 1: a failed call is lost or is retried after about this time. */
  private static final double FAILURE_PENALTY_MILLIS = 1_500;

  /**
   * Relative random variation of expected times, so that instances do not all select the same
   * endpoint.
   */
  private static final double JITTER = 0.1;

  /** Slowdown of a full decode engine against an idle one, over the tokens of a whole response. */
  private static final double FULL_ENGINE_PENALTY_MILLIS = 200;

  /**
   * Penalty for prefilling a prompt on a full decode engine, which delays the requests running
   * there by up to half the time of their own tokens.
   */
  private static final double LOCAL_PREFILL_PENALTY_MILLIS = 300;

  /** Interval between events of a running stream while its engine does not prefill. */
  private static final double EVENT_INTERVAL_MILLIS = 80;

  /**
   * With more candidates than this, one is sampled by weight instead of taking the best. Reports
   * from other instances arrive late, so many instances would otherwise all select the few engines
   * that seemed best.
   */
  private static final int MAX_COMPARED = 8;

  /** Lower bound of the free memory fraction in sampling weights. */
  private static final double MIN_FREE_FRACTION = 0.01;

  /** Exponent of the free memory fraction in sampling weights. */
  private static final double FREE_MEMORY_EXPONENT = 1.5;

  /** Number of best prefill and decode engines that are compared as pairs. */
  private static final int PAIR_CANDIDATES = 5;

  /** Estimated bytes of a stream per token: some five of the prompt's text, more of an event's. */
  private static final long STREAM_BYTES_PER_TOKEN = 8;

  private final DomainTopology topology;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final DoubleSupplier random;
  private final Optional<HomeDomainFilter> homeFilter;
  private final Map<ServiceId, PrefillTimeEstimator> estimators;

  private EndpointSelector(
      DomainTopology topology,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      DoubleSupplier random,
      Optional<HomeDomainFilter> homeFilter,
      Map<ServiceId, PrefillTimeEstimator> estimators) {
    this.topology = topology;
    this.workload = workload;
    this.health = health;
    this.random = random;
    this.homeFilter = homeFilter;
    this.estimators = estimators;
  }

  /**
   * Returns a selector.
   *
   * @param topology the failure domains as seen from this instance
   * @param workload the workload of each endpoint
   * @param health the health of each endpoint
   * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
   * @return the selector
   */
  public static EndpointSelector of(
      DomainTopology topology,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      DoubleSupplier random) {
    return of(topology, workload, health, random, Optional.empty());
  }

  /**
   * Returns a selector that may keep calls in their home domain.
   *
   * @param topology the failure domains as seen from this instance
   * @param workload the workload of each endpoint
   * @param health the health of each endpoint
   * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
   * @param homeFilter decides which calls may leave their home domain; empty if all may
   * @return the selector
   */
  public static EndpointSelector of(
      DomainTopology topology,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      DoubleSupplier random,
      Optional<HomeDomainFilter> homeFilter) {
    return new EndpointSelector(topology, workload, health, random, homeFilter, new HashMap<>());
  }

  /**
   * Returns this selector for calls of an instance in another failure domain. Without a filter for
   * home domains, distances are always measured from the local one.
   *
   * @param home the home domain of the calls; empty if it is not known, in which case it has no
   *     effect on the selection
   * @return a selector that shares the state of this one
   */
  EndpointSelector forHome(Optional<FailureDomainId> home) {
    if (homeFilter.isEmpty()) {
      return this;
    }
    return new EndpointSelector(
        home.map(topology::seenFrom).orElse(topology),
        workload,
        health,
        random,
        home.isPresent() ? homeFilter : Optional.empty(),
        estimators);
  }

  /**
   * Returns the prefill time estimator of a service's engines.
   *
   * @param service the service
   * @return the estimator
   */
  public PrefillTimeEstimator prefillTimeEstimator(ServiceId service) {
    return estimators.computeIfAbsent(service, id -> PrefillTimeEstimator.initial());
  }

  /**
   * Selects an endpoint for a plain call without a body.
   *
   * @param nowMillis the current time
   * @param candidates the endpoints that accept work
   * @param tried the endpoints that already failed this call; used only as a last resort
   * @return the endpoint, or empty if there are no candidates
   */
  public Optional<EndpointEntry> selectForPlainCall(
      long nowMillis, List<EndpointEntry> candidates, Set<EndpointId> tried) {
    return selectForPlainCall(nowMillis, candidates, tried, 0);
  }

  /**
   * Selects an endpoint for a plain call.
   *
   * @param nowMillis the current time
   * @param candidates the endpoints that accept work
   * @param tried the endpoints that already failed this call; used only as a last resort
   * @param bytes the bytes of the call
   * @return the endpoint, or empty if there are no candidates
   */
  public Optional<EndpointEntry> selectForPlainCall(
      long nowMillis, List<EndpointEntry> candidates, Set<EndpointId> tried, long bytes) {
    ToDoubleFunction<EndpointEntry> expectedMillis =
        entry -> plainMillis(nowMillis, entry) + penaltyMillis(nowMillis, entry);
    List<EndpointEntry> reachable = reachable(candidates);
    DomainWaits waits = new DomainWaits(nowMillis, workload, health, tried);
    List<EndpointEntry> allowed =
        allowed(nowMillis, reachable, entries -> plainWaitMillis(waits, entries, reachable));
    Optional<EndpointEntry> selected =
        rank(
                nowMillis,
                allowed,
                tried,
                expectedMillis,
                Optional.of(entry -> 1 / expectedMillis.applyAsDouble(entry)))
            .stream()
            .findFirst();
    selected.ifPresent(entry -> recordSelection(nowMillis, entry, bytes));
    return selected;
  }

  /** Returns the candidates that the call may use, by the wait at the endpoints of a domain. */
  private List<EndpointEntry> allowed(
      long nowMillis,
      List<EndpointEntry> reachable,
      ToDoubleFunction<List<EndpointEntry>> waitMillis) {
    return homeFilter
        .map(filter -> filter.filter(nowMillis, topology, reachable, waitMillis))
        .orElse(reachable);
  }

  private double plainWaitMillis(
      DomainWaits waits, List<EndpointEntry> domainEntries, List<EndpointEntry> all) {
    double callMillis =
        all.stream()
            .mapToDouble(
                entry -> health.get(entry.id()).meanDurationMillis(DEFAULT_PLAIN_CALL_MILLIS))
            .average()
            .orElse(DEFAULT_PLAIN_CALL_MILLIS);
    return waits.mean(
        domainEntries,
        entry ->
            waits.plainMillis(entry, callMillis)
                + penaltyMillis(waits.nowMillis(), entry)
                - roundTripMillis(entry));
  }

  private void recordSelection(long nowMillis, EndpointEntry selected, long bytes) {
    homeFilter.ifPresent(filter -> filter.recordSelection(nowMillis, topology, selected, bytes));
  }

  /**
   * Places a streamed request using workload reports that may be out of date: with many candidates,
   * engines are sampled by weight.
   *
   * @param nowMillis the current time
   * @param candidates the engines that accept work
   * @param tried the engines that already failed this request; used only as a last resort
   * @param profile the capacity of each engine
   * @param requirements what the request needs
   * @return the placement, or empty if no engine that can run the request has capacity
   */
  public Optional<StreamPlacement> placeStreamByWeight(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements requirements) {
    return place(
        nowMillis,
        candidates,
        tried,
        profile,
        requirements,
        Optional.of(entry -> decodeWeight(nowMillis, entry, profile)),
        Optional.of(
            entry ->
                requirements.promptTokens()
                    / prefillMillis(nowMillis, entry, requirements.promptTokens())));
  }

  /**
   * Places a streamed request on the best engines, for a caller whose workload data is exact.
   *
   * @param nowMillis the current time
   * @param candidates the engines that accept work
   * @param tried the engines that already failed this request; used only as a last resort
   * @param profile the capacity of each engine
   * @param requirements what the request needs
   * @return the placement, or empty if no engine that can run the request has capacity
   */
  public Optional<StreamPlacement> placeStreamOnBest(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements requirements) {
    return place(
        nowMillis, candidates, tried, profile, requirements, Optional.empty(), Optional.empty());
  }

  private Optional<StreamPlacement> place(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements requirements,
      Optional<ToDoubleFunction<EndpointEntry>> decodeWeight,
      Optional<ToDoubleFunction<EndpointEntry>> prefillWeight) {
    long promptTokens = requirements.promptTokens();
    List<EndpointEntry> reachable = reachable(candidates);
    DomainWaits waits = new DomainWaits(nowMillis, workload, health, tried);
    List<EndpointEntry> allowed =
        allowed(
            nowMillis,
            reachable,
            entries -> streamWaitMillis(waits, entries, reachable, profile, requirements));
    List<EndpointEntry> decodeEngines = decodeEngines(nowMillis, allowed, profile, requirements);
    List<EndpointEntry> prefillEngines = prefillEngines(allowed, requirements);
    List<EndpointEntry> rankedDecodeEngines =
        rank(
            nowMillis,
            decodeEngines,
            tried,
            entry -> decodeMillis(nowMillis, entry, profile),
            decodeWeight);
    List<EndpointEntry> rankedPrefillEngines =
        requirements.allowsSplit()
            ? rank(
                nowMillis,
                prefillEngines.isEmpty() ? prefillEngines(reachable, requirements) : prefillEngines,
                tried,
                entry -> prefillMillis(nowMillis, entry, promptTokens),
                prefillWeight)
            : List.of();
    Optional<StreamPlacement> placement =
        rankedDecodeEngines.stream()
            .limit(PAIR_CANDIDATES)
            .flatMap(
                decode ->
                    Stream.concat(
                        rankedPrefillEngines.isEmpty()
                                || canPrefillLocally(nowMillis, decode, requirements)
                            ? Stream.of(
                                decodeOnlyPlacement(nowMillis, decode, profile, promptTokens))
                            : Stream.empty(),
                        rankedPrefillEngines.stream()
                            .limit(PAIR_CANDIDATES)
                            .map(
                                prefill ->
                                    splitPlacement(
                                        nowMillis, prefill, decode, profile, promptTokens))))
            .min(
                Comparator.comparingDouble(
                    one -> one.expectedFirstEventMillis() + transferPriceMillis(one)));
    placement.ifPresent(
        one ->
            recordSelection(
                nowMillis, one.decode(), requirements.memoryTokens() * STREAM_BYTES_PER_TOKEN));
    return placement;
  }

  private List<EndpointEntry> decodeEngines(
      long nowMillis,
      List<EndpointEntry> engines,
      EngineProfile profile,
      StreamRequirements requirements) {
    return engines.stream()
        .filter(entry -> entry.stage().runsRequests())
        .filter(
            entry ->
                requirements.ignoresCapacity()
                    || hasCapacity(nowMillis, entry, profile, requirements))
        .toList();
  }

  private static List<EndpointEntry> prefillEngines(
      List<EndpointEntry> engines, StreamRequirements requirements) {
    return engines.stream()
        .filter(entry -> entry.stage() == EndpointStage.PREFILL)
        .filter(entry -> !requirements.failedPrefillEngines().contains(entry.id()))
        .toList();
  }

  /**
   * Returns the wait of a stream in a domain; infinite if none of its engines has capacity. Engines
   * are divided between stages by region, so a domain may be without prefill engines; its streams
   * use those of other domains.
   */
  private double streamWaitMillis(
      DomainWaits waits,
      List<EndpointEntry> domainEntries,
      List<EndpointEntry> all,
      EngineProfile profile,
      StreamRequirements requirements) {
    long nowMillis = waits.nowMillis();
    ToDoubleFunction<EndpointEntry> decodeWaitMillis =
        entry -> decodeMillis(nowMillis, entry, profile) - roundTripMillis(entry);
    double waitMillis =
        waits.shortest(
            decodeEngines(nowMillis, domainEntries, profile, requirements), decodeWaitMillis);
    if (!requirements.allowsSplit()) {
      return waitMillis;
    }
    ToDoubleFunction<EndpointEntry> prefillWaitMillis =
        entry -> prefillMillis(nowMillis, entry, 0) - roundTripMillis(entry);
    List<EndpointEntry> own = prefillEngines(domainEntries, requirements);
    List<EndpointEntry> usable = own.isEmpty() ? prefillEngines(all, requirements) : own;
    double prefillMillis = waits.shortest(usable, prefillWaitMillis);
    return Double.isInfinite(prefillMillis) ? waitMillis : waitMillis + prefillMillis;
  }

  /** Returns the price of the KV cache transfer of a placement; 0 without a filter for homes. */
  private double transferPriceMillis(StreamPlacement placement) {
    if (homeFilter.isEmpty() || placement.prefill().isEmpty()) {
      return 0;
    }
    return homeFilter
        .get()
        .priceMillis(
            topology.distanceBetween(
                placement.prefill().get().domain(), placement.decode().domain()));
  }

  /**
   * Excludes unreachable endpoints, even if all others are full, unless every endpoint is
   * unreachable.
   */
  private List<EndpointEntry> reachable(List<EndpointEntry> candidates) {
    List<EndpointEntry> reachable =
        candidates.stream().filter(entry -> !health.get(entry.id()).isUnreachable()).toList();
    return reachable.isEmpty() ? candidates : reachable;
  }

  /**
   * Returns whether a decode engine can prefill a prompt, together with all queued prompts, without
   * pausing the streams running there beyond the allowed gap. The limit also applies to an engine
   * that seems idle, because it may run streams of instances that have not reported yet.
   */
  private boolean canPrefillLocally(
      long nowMillis, EndpointEntry decode, StreamRequirements requirements) {
    if (requirements.maxGapMillis() == 0) {
      return true;
    }
    long queuedTokens = workload.total(decode.id(), nowMillis).promptTokens();
    double prefillMillis =
        prefillTimeEstimator(decode.service())
            .onDecodeEngineMillis(queuedTokens + requirements.promptTokens());
    return EVENT_INTERVAL_MILLIS + prefillMillis <= requirements.maxGapMillis();
  }

  private StreamPlacement decodeOnlyPlacement(
      long nowMillis, EndpointEntry decode, EngineProfile profile, long promptTokens) {
    EndpointWorkload current = workload.total(decode.id(), nowMillis);
    double millis =
        decodeMillis(nowMillis, decode, profile)
            + LOCAL_PREFILL_PENALTY_MILLIS * memoryFraction(current, profile)
            + prefillTimeEstimator(decode.service())
                .onDecodeEngineMillis(current.promptTokens() + promptTokens);
    return new StreamPlacement(Optional.empty(), decode, millis);
  }

  private StreamPlacement splitPlacement(
      long nowMillis,
      EndpointEntry prefill,
      EndpointEntry decode,
      EngineProfile profile,
      long promptTokens) {
    double millis =
        prefillMillis(nowMillis, prefill, promptTokens)
            + topology.distanceBetween(prefill.domain(), decode.domain()).transferCostMillis()
            + decodeMillis(nowMillis, decode, profile);
    return new StreamPlacement(Optional.of(prefill), decode, millis);
  }

  private boolean hasCapacity(
      long nowMillis, EndpointEntry entry, EngineProfile profile, StreamRequirements requirements) {
    EndpointWorkload current = workload.total(entry.id(), nowMillis);
    return current.calls() < profile.slots()
        && current.memoryTokens() + requirements.memoryTokens()
            <= profile.memoryTokens() * requirements.usableMemoryFraction();
  }

  private double plainMillis(long nowMillis, EndpointEntry entry) {
    int calls = workload.total(entry.id(), nowMillis).calls();
    double callMillis = health.get(entry.id()).meanDurationMillis(DEFAULT_PLAIN_CALL_MILLIS);
    double queued = Math.max(0, calls + 1 - entry.slots());
    double utilization = (double) Math.min(calls, entry.slots()) / Math.max(1, entry.slots());
    return callMillis * (1 + utilization / 2 + queued / Math.max(1, entry.slots()));
  }

  private double prefillMillis(long nowMillis, EndpointEntry entry, long promptTokens) {
    long queuedTokens = workload.total(entry.id(), nowMillis).promptTokens();
    return prefillTimeEstimator(entry.service()).onPrefillEngineMillis(queuedTokens + promptTokens)
        + penaltyMillis(nowMillis, entry);
  }

  private double decodeMillis(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    EndpointWorkload current = workload.total(entry.id(), nowMillis);
    return FULL_ENGINE_PENALTY_MILLIS * memoryFraction(current, profile)
        + penaltyMillis(nowMillis, entry);
  }

  /** Returns the time that an endpoint's distance and failure rate add to any call. */
  private double penaltyMillis(long nowMillis, EndpointEntry entry) {
    return roundTripMillis(entry)
        + FAILURE_PENALTY_MILLIS * health.get(entry.id()).failureRate(nowMillis);
  }

  private int roundTripMillis(EndpointEntry entry) {
    return topology.distanceToLocal(entry.domain()).roundTripMillis();
  }

  /** Returns the occupied fraction of an engine's memory. */
  private static double memoryFraction(EndpointWorkload work, EngineProfile profile) {
    return (double) work.memoryTokens() / Math.max(1, profile.memoryTokens());
  }

  /** Reduces many candidates to one sampled by weight, from the local region if possible. */
  private List<EndpointEntry> sampleIfMany(
      List<EndpointEntry> candidates, ToDoubleFunction<EndpointEntry> weight) {
    if (candidates.size() <= MAX_COMPARED) {
      return candidates;
    }
    List<EndpointEntry> regional =
        candidates.stream()
            .filter(
                entry -> topology.distanceToLocal(entry.domain()) != NetworkDistance.OTHER_REGION)
            .toList();
    return List.of(sample(regional.isEmpty() ? candidates : regional, weight));
  }

  private EndpointEntry sample(
      List<EndpointEntry> candidates, ToDoubleFunction<EndpointEntry> weight) {
    double[] weights = candidates.stream().mapToDouble(weight).toArray();
    double remaining = DoubleStream.of(weights).sum() * random.getAsDouble();
    for (int i = 0; i < weights.length; i++) {
      remaining -= weights[i];
      if (remaining < 0) {
        return candidates.get(i);
      }
    }
    return candidates.get(candidates.size() - 1);
  }

  /** Returns the sampling weight of a decode engine, from its free memory and its penalties. */
  private double decodeWeight(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    double freeFraction =
        Math.max(
            MIN_FREE_FRACTION, 1 - memoryFraction(workload.total(entry.id(), nowMillis), profile));
    return Math.pow(freeFraction, FREE_MEMORY_EXPONENT)
        / (FULL_ENGINE_PENALTY_MILLIS + penaltyMillis(nowMillis, entry));
  }

  /**
   * Sorts by expected time. Endpoints that failed this call or accept no calls are used only if
   * there are no others.
   */
  private List<EndpointEntry> rank(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      ToDoubleFunction<EndpointEntry> expectedMillis,
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
    Map<EndpointEntry, Double> jitteredMillis = new HashMap<>();
    usable.forEach(
        entry ->
            jitteredMillis.put(
                entry, expectedMillis.applyAsDouble(entry) * (1 + JITTER * random.getAsDouble())));
    return usable.stream().sorted(Comparator.comparingDouble(jitteredMillis::get)).toList();
  }
}
