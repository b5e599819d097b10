package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.ServiceId;

/** Estimates the times and the free capacity of endpoints for calls of one failure domain. */
final class ExpectedTimes {

  /** Assumed duration of a plain call until one has been measured. */
  private static final double DEFAULT_PLAIN_CALL_MILLIS = 60;

  /** Penalty for a failure rate of 1: a failed call is lost or is retried after about this time. */
  private static final double FAILURE_PENALTY_MILLIS = 1_500;

  /**
   * Penalty for a cold endpoint. Warm ones are preferred until their queues are longer than this; a
   * cold endpoint takes only few requests, so that a call may be denied there.
   */
  private static final double COLD_PENALTY_MILLIS = 2_000;

  /** Slowdown of a full decode engine against an idle one, over the tokens of a whole response. */
  private static final double FULL_ENGINE_PENALTY_MILLIS = 200;

  /** Interval between events of a running stream while its engine does not prefill. */
  private static final double EVENT_INTERVAL_MILLIS = 80;

  /** Lower bound of the free memory fraction in sampling weights. */
  private static final double MIN_FREE_FRACTION = 0.01;

  /** Exponent of the free memory fraction in sampling weights. */
  private static final double FREE_MEMORY_EXPONENT = 1.5;

  private final DomainTopology topology;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final Predicate<EndpointEntry> isCold;
  private final EngineSpeeds speeds;
  private final Map<ServiceId, PrefillTimeEstimator> estimators;

  private ExpectedTimes(
      DomainTopology topology,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      Predicate<EndpointEntry> isCold,
      EngineSpeeds speeds,
      Map<ServiceId, PrefillTimeEstimator> estimators) {
    this.topology = topology;
    this.workload = workload;
    this.health = health;
    this.isCold = isCold;
    this.speeds = speeds;
    this.estimators = estimators;
  }

  /**
   * Returns estimates without observed prefills.
   *
   * @param topology the failure domains as seen from that of the calls
   * @param workload the workload of each endpoint
   * @param health the health of each endpoint
   */
  static ExpectedTimes of(
      DomainTopology topology, WorkloadTracker workload, EndpointHealthRegistry health) {
    return new ExpectedTimes(
        topology,
        workload,
        health,
        endpoint -> false,
        EngineSpeeds.create(EngineSpeedListener.NONE),
        new HashMap<>());
  }

  /** Returns the estimates for calls of another failure domain, which share the observations. */
  ExpectedTimes seenFrom(DomainTopology other) {
    return new ExpectedTimes(other, workload, health, isCold, speeds, estimators);
  }

  /** Returns estimates with the same inputs in which cold endpoints take longer. */
  ExpectedTimes withCold(Predicate<EndpointEntry> predicate) {
    return new ExpectedTimes(topology, workload, health, predicate, speeds, estimators);
  }

  /** Returns estimates with the same inputs and the speed of each engine. */
  ExpectedTimes withSpeeds(EngineSpeeds engineSpeeds) {
    return new ExpectedTimes(topology, workload, health, isCold, engineSpeeds, estimators);
  }

  double meanSpeed(long nowMillis, List<EndpointEntry> engines) {
    return speeds.meanStepSpeed(nowMillis, engines);
  }

  boolean isCold(EndpointEntry endpoint) {
    return isCold.test(endpoint);
  }

  PrefillTimeEstimator prefillTimeEstimator(ServiceId service) {
    return estimators.computeIfAbsent(service, id -> PrefillTimeEstimator.initial());
  }

  boolean hasCapacity(
      long nowMillis, EndpointEntry entry, EngineProfile profile, StreamRequirements requirements) {
    EndpointWorkload current = workload.total(entry.id(), nowMillis);
    return current.calls() < profile.slots()
        && current.memoryTokens() + requirements.memoryTokens()
            <= profile.memoryTokens() * requirements.usableMemoryFraction();
  }

  double plainMillis(long nowMillis, EndpointEntry entry) {
    int calls = workload.total(entry.id(), nowMillis).calls();
    double callMillis = health.get(entry.id()).meanDurationMillis(DEFAULT_PLAIN_CALL_MILLIS);
    double queued = Math.max(0, calls + 1 - entry.slots());
    double utilization = (double) Math.min(calls, entry.slots()) / Math.max(1, entry.slots());
    return callMillis * (1 + utilization / 2 + queued / Math.max(1, entry.slots()));
  }

  double prefillMillis(long nowMillis, EndpointEntry entry, long promptTokens) {
    long queuedTokens = workload.total(entry.id(), nowMillis).promptTokens();
    return prefillTimeEstimator(entry.service()).onPrefillEngineMillis(queuedTokens + promptTokens)
            * speeds.prefillFactor(nowMillis, entry)
        + penaltyMillis(nowMillis, entry);
  }

  double decodeMillis(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    EndpointWorkload current = workload.total(entry.id(), nowMillis);
    double stepFactor = speeds.stepFactor(nowMillis, entry);
    return FULL_ENGINE_PENALTY_MILLIS * memoryFraction(current, profile) * stepFactor
        + slowStepMillis(stepFactor)
        + penaltyMillis(nowMillis, entry);
  }

  /** Returns how much later the first event of a stream comes from an engine with slow steps. */
  private static double slowStepMillis(double stepFactor) {
    return EVENT_INTERVAL_MILLIS * (Math.max(1, stepFactor) - 1);
  }

  /** Returns the time in which a decode engine prefills prompts, the queued ones included. */
  double localPrefillMillis(long nowMillis, EndpointEntry decode, long promptTokens) {
    long queuedTokens = workload.total(decode.id(), nowMillis).promptTokens();
    return prefillTimeEstimator(decode.service()).onDecodeEngineMillis(queuedTokens + promptTokens)
        * speeds.prefillFactor(nowMillis, decode);
  }

  /** Returns the time that an endpoint's distance, failures and coldness add to any call. */
  double penaltyMillis(long nowMillis, EndpointEntry entry) {
    return (isCold(entry) ? COLD_PENALTY_MILLIS : 0)
        + roundTripMillis(entry)
        + FAILURE_PENALTY_MILLIS * health.get(entry.id()).failureRate(nowMillis);
  }

  int roundTripMillis(EndpointEntry entry) {
    return topology.distanceToLocal(entry.domain()).roundTripMillis();
  }

  /** Returns the occupied fraction of an engine's memory. */
  static double memoryFraction(EndpointWorkload work, EngineProfile profile) {
    return (double) work.memoryTokens() / Math.max(1, profile.memoryTokens());
  }

  /** Returns the sampling weight of a decode engine, from its free memory, speed and penalties. */
  double decodeWeight(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    double freeFraction =
        Math.max(
            MIN_FREE_FRACTION, 1 - memoryFraction(workload.total(entry.id(), nowMillis), profile));
    double stepFactor = speeds.stepFactor(nowMillis, entry);
    return Math.pow(freeFraction, FREE_MEMORY_EXPONENT)
        / (FULL_ENGINE_PENALTY_MILLIS * stepFactor
            + slowStepMillis(stepFactor)
            + penaltyMillis(nowMillis, entry));
  }

  /**
   * Returns whether a decode engine can prefill a prompt, together with all queued prompts, without
   * pausing the streams running there beyond the allowed gap. The limit also applies to an engine
   * that seems idle, because it may run streams of instances that have not reported yet.
   */
  boolean canPrefillLocally(long nowMillis, EndpointEntry decode, StreamRequirements requirements) {
    if (requirements.maxGapMillis() == 0) {
      return true;
    }
    double stepMillis = EVENT_INTERVAL_MILLIS * speeds.stepFactor(nowMillis, decode);
    return stepMillis + localPrefillMillis(nowMillis, decode, requirements.promptTokens())
        <= requirements.maxGapMillis();
  }

  /** Returns the engines that can run a request. */
  List<EndpointEntry> decodeEngines(
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

  /** Returns the engines that can prefill a request for another engine. */
  static List<EndpointEntry> prefillEngines(
      List<EndpointEntry> engines, StreamRequirements requirements) {
    return engines.stream()
        .filter(entry -> entry.stage() == EndpointStage.PREFILL)
        .filter(entry -> !requirements.failedPrefillEngines().contains(entry.id()))
        .toList();
  }

  /**
   * Returns how long a plain call waits at an endpoint, regardless of its distance.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param callMillis the duration of a call, the same for all endpoints of the service, since few
   *     of the endpoints elsewhere have been measured
   */
  double plainWaitMillis(long nowMillis, EndpointEntry endpoint, double callMillis) {
    int calls = workload.total(endpoint.id(), nowMillis).calls();
    int slots = Math.max(1, endpoint.slots());
    double queued = Math.max(0, calls + 1 - slots);
    double utilization = (double) Math.min(calls, slots) / slots;
    return callMillis * (utilization / 2 + queued / slots)
        + penaltyMillis(nowMillis, endpoint)
        - roundTripMillis(endpoint);
  }

  /** Returns the mean measured duration of a plain call at the endpoints. */
  double meanPlainCallMillis(List<EndpointEntry> endpoints) {
    return endpoints.stream()
        .mapToDouble(entry -> health.get(entry.id()).meanDurationMillis(DEFAULT_PLAIN_CALL_MILLIS))
        .average()
        .orElse(DEFAULT_PLAIN_CALL_MILLIS);
  }

  /** Returns how long a stream waits at a decode engine, regardless of its distance. */
  double decodeWaitMillis(long nowMillis, EndpointEntry engine, EngineProfile profile) {
    return decodeMillis(nowMillis, engine, profile) - roundTripMillis(engine);
  }

  /** Returns how long a prompt waits at a prefill engine, regardless of its distance. */
  double prefillWaitMillis(long nowMillis, EndpointEntry engine) {
    return prefillMillis(nowMillis, engine, 0) - roundTripMillis(engine);
  }
}
