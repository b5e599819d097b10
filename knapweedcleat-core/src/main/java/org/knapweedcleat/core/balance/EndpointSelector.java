package org.knapweedcleat.core.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Selects the endpoints for a call by expected response time, estimated from known workload,
 * distance and health.
 */
public final class EndpointSelector {

  /**
   * Relative random variation of expected times, so that instances do not all select the same
   * endpoint.
   */
  private static final double JITTER = 0.1;

  /**
   * Penalty for prefilling a prompt on a full decode engine, which delays the requests running
   * there by up to half the time of their own tokens.
   */
  private static final double LOCAL_PREFILL_PENALTY_MILLIS = 300;

  /**
   * With more candidates than this, one is sampled by weight instead of taking the best. Reports
   * from other instances arrive late, so many instances would otherwise all select the few engines
   * that seemed best.
   */
  private static final int MAX_COMPARED = 8;

  /** Number of best prefill and decode engines that are compared as pairs. */
  private static final int PAIR_CANDIDATES = 5;

  /** Estimated bytes of a stream per token: some five of the prompt's text, more of an event's. */
  private static final long STREAM_BYTES_PER_TOKEN = 8;

  private final DomainTopology topology;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final DoubleSupplier random;
  private final Optional<HomeDomainFilter> homeFilter;
  private final ExpectedTimes times;
  private final SlowEngineProbes probes;

  private EndpointSelector(
      DomainTopology topology,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      DoubleSupplier random,
      Optional<HomeDomainFilter> homeFilter,
      ExpectedTimes times,
      SlowEngineProbes probes) {
    this.topology = topology;
    this.workload = workload;
    this.health = health;
    this.random = random;
    this.homeFilter = homeFilter;
    this.times = times;
    this.probes = probes;
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
    return new EndpointSelector(
        topology,
        workload,
        health,
        random,
        homeFilter,
        ExpectedTimes.of(topology, workload, health),
        new SlowEngineProbes(EngineSpeeds.create(EngineSpeedListener.NONE)));
  }

  /**
   * Returns a selector with the same inputs that prefers warm endpoints.
   *
   * @param predicate tells which endpoints are cold
   * @return the selector
   */
  public EndpointSelector preferringWarm(Predicate<EndpointEntry> predicate) {
    return new EndpointSelector(
        topology, workload, health, random, homeFilter, times.withCold(predicate), probes);
  }

  /**
   * Returns a selector with the same inputs that distributes streams by the speed of engines.
   *
   * @param speeds the speed of each engine
   * @return the selector
   */
  public EndpointSelector withSpeeds(EngineSpeeds speeds) {
    return new EndpointSelector(
        topology,
        workload,
        health,
        random,
        homeFilter,
        times.withSpeeds(speeds),
        new SlowEngineProbes(speeds));
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
    DomainTopology seenFromHome = home.map(topology::seenFrom).orElse(topology);
    return new EndpointSelector(
        seenFromHome,
        workload,
        health,
        random,
        home.isPresent() ? homeFilter : Optional.empty(),
        times.seenFrom(seenFromHome),
        probes);
  }

  /**
   * Returns the prefill time estimator of a service's engines.
   *
   * @param service the service
   * @return the estimator
   */
  public PrefillTimeEstimator prefillTimeEstimator(ServiceId service) {
    return times.prefillTimeEstimator(service);
  }

  /** Returns the mean speed of engines in multiples of the median engine. */
  double meanSpeed(long nowMillis, List<EndpointEntry> engines) {
    return times.meanSpeed(nowMillis, engines);
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
        entry -> times.plainMillis(nowMillis, entry) + times.penaltyMillis(nowMillis, entry);
    List<EndpointEntry> reachable = reachable(candidates);
    DomainWaits waits = new DomainWaits(nowMillis, times, health, tried);
    List<EndpointEntry> allowed =
        allowed(nowMillis, reachable, entries -> waits.plainMillis(entries, reachable));
    Optional<EndpointEntry> selected =
        rank(
                nowMillis,
                allowed,
                tried,
                expectedMillis,
                Optional.of(entry -> 1 / expectedMillis.applyAsDouble(entry)),
                isReducedFromMany(reachable, allowed))
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
        Optional.of(entry -> times.decodeWeight(nowMillis, entry, profile)),
        Optional.of(
            entry ->
                requirements.promptTokens()
                    / times.prefillMillis(nowMillis, entry, requirements.promptTokens())));
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
    DomainWaits waits = new DomainWaits(nowMillis, times, health, tried);
    List<EndpointEntry> allowed =
        allowed(
            nowMillis,
            reachable,
            entries -> waits.streamMillis(entries, reachable, profile, requirements));
    List<EndpointEntry> decodeEngines =
        times.decodeEngines(nowMillis, allowed, profile, requirements);
    List<EndpointEntry> rankedDecodeEngines =
        rank(
            nowMillis,
            decodeEngines,
            tried,
            entry -> times.decodeMillis(nowMillis, entry, profile),
            decodeWeight,
            isReducedFromMany(reachable, allowed));
    List<EndpointEntry> rankedPrefillEngines =
        requirements.allowsSplit()
            ? rank(
                nowMillis,
                waits.prefillEngines(allowed, reachable, requirements),
                tried,
                entry -> times.prefillMillis(nowMillis, entry, promptTokens),
                prefillWeight,
                isReducedFromMany(reachable, allowed))
            : List.of();
    Optional<StreamPlacement> placement =
        rankedDecodeEngines.stream()
            .limit(PAIR_CANDIDATES)
            .flatMap(
                decode ->
                    Stream.concat(
                        rankedPrefillEngines.isEmpty()
                                || times.canPrefillLocally(nowMillis, decode, requirements)
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
        one -> {
          recordSelection(
              nowMillis, one.decode(), requirements.memoryTokens() * STREAM_BYTES_PER_TOKEN);
          probes.recordPlacement(nowMillis, one);
        });
    return placement;
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

  private StreamPlacement decodeOnlyPlacement(
      long nowMillis, EndpointEntry decode, EngineProfile profile, long promptTokens) {
    EndpointWorkload current = workload.total(decode.id(), nowMillis);
    double millis =
        times.decodeMillis(nowMillis, decode, profile)
            + LOCAL_PREFILL_PENALTY_MILLIS * ExpectedTimes.memoryFraction(current, profile)
            + times.localPrefillMillis(nowMillis, decode, promptTokens);
    return new StreamPlacement(Optional.empty(), decode, millis);
  }

  private StreamPlacement splitPlacement(
      long nowMillis,
      EndpointEntry prefill,
      EndpointEntry decode,
      EngineProfile profile,
      long promptTokens) {
    double millis =
        times.prefillMillis(nowMillis, prefill, promptTokens)
            + topology.distanceBetween(prefill.domain(), decode.domain()).transferCostMillis()
            + times.decodeMillis(nowMillis, decode, profile);
    return new StreamPlacement(Optional.of(prefill), decode, millis);
  }

  /**
   * Returns whether a home domain's few endpoints remain of many. As many instances select among
   * them by reports as late as before, so that taking the best would overload it.
   */
  private static boolean isReducedFromMany(
      List<EndpointEntry> reachable, List<EndpointEntry> allowed) {
    return reachable.size() > MAX_COMPARED && allowed.size() < reachable.size();
  }

  /** Reduces many candidates to one sampled by weight, warm and of the local region if possible. */
  private List<EndpointEntry> sampleIfMany(
      List<EndpointEntry> candidates,
      ToDoubleFunction<EndpointEntry> weight,
      boolean isReducedFromMany) {
    if (candidates.size() <= MAX_COMPARED && !isReducedFromMany) {
      return candidates;
    }
    List<EndpointEntry> regional =
        candidates.stream()
            .filter(
                entry -> topology.distanceToLocal(entry.domain()) != NetworkDistance.OTHER_REGION)
            .toList();
    List<EndpointEntry> preferred = regional.isEmpty() ? candidates : regional;
    List<EndpointEntry> warm = preferred.stream().filter(entry -> !times.isCold(entry)).toList();
    return List.of(sample(warm.isEmpty() ? preferred : warm, weight));
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

  /**
   * Sorts by expected time. Endpoints that failed this call or accept no calls are used only if
   * there are no others. A slow engine that is due for a call is returned alone.
   */
  private List<EndpointEntry> rank(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      ToDoubleFunction<EndpointEntry> expectedMillis,
      Optional<ToDoubleFunction<EndpointEntry>> weight,
      boolean isReducedFromMany) {
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
      usable = sampleIfMany(usable, weight.get(), isReducedFromMany);
    }
    Optional<EndpointEntry> probed =
        tried.isEmpty() ? probes.due(nowMillis, usable) : Optional.empty();
    if (probed.isPresent()) {
      return List.of(probed.get());
    }
    Map<EndpointEntry, Double> jitteredMillis = new HashMap<>();
    usable.forEach(
        entry ->
            jitteredMillis.put(
                entry, expectedMillis.applyAsDouble(entry) * (1 + JITTER * random.getAsDouble())));
    return usable.stream().sorted(Comparator.comparingDouble(jitteredMillis::get)).toList();
  }
}
