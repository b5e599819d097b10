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
public final class EndpointChooser {

  /** Assumed time of a plain call until some have ended. */
  private static final double PLAIN_CALL_MILLIS = 60;

  /** What a share of failures costs: a failed call is lost or starts again after about that. */
  private static final double FAILURE_MILLIS = 1_500;

  /** Expected times within this part of each other count as alike, so that instances spread. */
  private static final double JITTER = 0.1;

  /** How much a full decode engine is slower than an empty one, over the tokens of an answer. */
  private static final double FULL_ENGINE_MILLIS = 200;

  /**
   * What a prompt that a full decode engine reads itself takes from the requests that run there: as
   * much as half of a request's own tokens.
   */
  private static final double READING_BESIDE_MILLIS = 300;

  /** The time between two events of a running stream when its engine reads nothing. */
  private static final double EVENT_MILLIS = 80;

  /**
   * Of more engines than this one is drawn at random instead of the best: many instances whose news
   * of each other is old would else all choose the few that seemed best.
   */
  private static final int MAX_COMPARED = 8;

  /** The free part of the memory that a full engine counts as having when engines are drawn. */
  private static final double LEAST_ROOM = 0.01;

  /** How steeply free memory counts when engines are drawn. */
  private static final double ROOM_POWER = 1.5;

  /** How many of the best engines of each stage are tried in pairs. */
  private static final int PAIR_CANDIDATES = 5;

  private final DomainMap domains;
  private final WorkBook work;
  private final HealthBook health;
  private final DoubleSupplier random;
  private final Map<ServiceId, EngineSpeed> speeds = new HashMap<>();

  private EndpointChooser(
      DomainMap domains, WorkBook work, HealthBook health, DoubleSupplier random) {
    this.domains = domains;
    this.work = work;
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
  public static EndpointChooser of(
      DomainMap domains, WorkBook work, HealthBook health, DoubleSupplier random) {
    return new EndpointChooser(domains, work, health, random);
  }

  /**
   * Returns the learned speed of a service's engines.
   *
   * @param service the service
   * @return the speed
   */
  public EngineSpeed speed(ServiceId service) {
    return speeds.computeIfAbsent(service, id -> EngineSpeed.initial());
  }

  /**
   * Chooses an endpoint for a plain call.
   *
   * @param nowMillis the time
   * @param candidates the endpoints that take work
   * @param tried the endpoints that have failed this call, used only if there is no other
   * @return the endpoint, if there is any
   */
  public Optional<EndpointEntry> plain(
      long nowMillis, List<EndpointEntry> candidates, Set<EndpointId> tried) {
    ToDoubleFunction<EndpointEntry> millis =
        entry -> plainMillis(nowMillis, entry) + detourMillis(nowMillis, entry);
    return ranked(
            nowMillis,
            inReach(candidates),
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
  public Optional<StreamPlacement> stream(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamNeed need) {
    return place(
        nowMillis,
        candidates,
        tried,
        profile,
        need,
        Optional.of(entry -> room(nowMillis, entry, profile)),
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
  public Optional<StreamPlacement> bestStream(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamNeed need) {
    return place(nowMillis, candidates, tried, profile, need, Optional.empty(), Optional.empty());
  }

  private Optional<StreamPlacement> place(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamNeed need,
      Optional<ToDoubleFunction<EndpointEntry>> decodeWeight,
      Optional<ToDoubleFunction<EndpointEntry>> readWeight) {
    long promptTokens = need.promptTokens();
    List<EndpointEntry> reachable = inReach(candidates);
    List<EndpointEntry> decoders =
        reachable.stream()
            .filter(entry -> entry.stage().runsRequests())
            .filter(entry -> need.forced() || hasRoom(nowMillis, entry, profile, need))
            .toList();
    List<EndpointEntry> nearDecoders =
        ranked(
            nowMillis,
            decoders,
            tried,
            entry -> decodeMillis(nowMillis, entry, profile),
            decodeWeight);
    List<EndpointEntry> readers =
        need.split()
            ? ranked(
                nowMillis,
                reachable.stream()
                    .filter(entry -> entry.stage() == EndpointStage.PREFILL)
                    .filter(entry -> !need.failedReaders().contains(entry.id()))
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
                    readers.isEmpty() || pausesNobody(nowMillis, decode, need)
                        ? Stream.of(alone(nowMillis, decode, profile, promptTokens))
                        : Stream.empty(),
                    readers.stream()
                        .limit(PAIR_CANDIDATES)
                        .map(reader -> pair(nowMillis, reader, decode, profile, promptTokens))))
        .min(Comparator.comparingDouble(StreamPlacement::firstEventMillis));
  }

  /** Leaves out what is out of reach, also if the rest is full, unless nothing is in reach. */
  private List<EndpointEntry> inReach(List<EndpointEntry> candidates) {
    List<EndpointEntry> reachable =
        candidates.stream().filter(entry -> !health.of(entry.id()).isUnreachable()).toList();
    return reachable.isEmpty() ? candidates : reachable;
  }

  /**
   * Tells whether a decode engine can read a prompt itself without a pause in the streams that run
   * there that their callers take as late, even if it reads all that waits in one piece. Also an
   * engine that seems to run none may run those of instances that were not heard yet.
   */
  private boolean pausesNobody(long nowMillis, EndpointEntry decode, StreamNeed need) {
    if (need.maxGapMillis() == 0) {
      return true;
    }
    long ahead = work.at(decode.id(), nowMillis).promptTokens();
    double readMillis = speed(decode.service()).decodeMillis(ahead + need.promptTokens());
    return EVENT_MILLIS + readMillis <= need.maxGapMillis();
  }

  private StreamPlacement alone(
      long nowMillis, EndpointEntry decode, EngineProfile profile, long promptTokens) {
    EndpointWork there = work.at(decode.id(), nowMillis);
    double millis =
        decodeMillis(nowMillis, decode, profile)
            + READING_BESIDE_MILLIS * fill(there, profile)
            + speed(decode.service()).decodeMillis(there.promptTokens() + promptTokens);
    return new StreamPlacement(Optional.empty(), decode, millis);
  }

  private StreamPlacement pair(
      long nowMillis,
      EndpointEntry reader,
      EndpointEntry decode,
      EngineProfile profile,
      long promptTokens) {
    double millis =
        prefillMillis(nowMillis, reader, promptTokens)
            + domains.between(reader.domain(), decode.domain()).transferMillis()
            + decodeMillis(nowMillis, decode, profile);
    return new StreamPlacement(Optional.of(reader), decode, millis);
  }

  private boolean hasRoom(
      long nowMillis, EndpointEntry entry, EngineProfile profile, StreamNeed need) {
    EndpointWork there = work.at(entry.id(), nowMillis);
    return there.calls() < profile.slots()
        && there.memoryTokens() + need.memoryTokens()
            <= profile.memoryTokens() * need.usableMemory();
  }

  private double plainMillis(long nowMillis, EndpointEntry entry) {
    int calls = work.at(entry.id(), nowMillis).calls();
    double callMillis = health.of(entry.id()).meanMillis(PLAIN_CALL_MILLIS);
    double waiting = Math.max(0, calls + 1 - entry.slots());
    double busy = (double) Math.min(calls, entry.slots()) / Math.max(1, entry.slots());
    return callMillis * (1 + busy / 2 + waiting / Math.max(1, entry.slots()));
  }

  private double prefillMillis(long nowMillis, EndpointEntry entry, long promptTokens) {
    long ahead = work.at(entry.id(), nowMillis).promptTokens();
    return speed(entry.service()).prefillMillis(ahead + promptTokens)
        + detourMillis(nowMillis, entry);
  }

  private double decodeMillis(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    EndpointWork there = work.at(entry.id(), nowMillis);
    return FULL_ENGINE_MILLIS * fill(there, profile) + detourMillis(nowMillis, entry);
  }

  /** Returns what an endpoint's distance and its failures add to the time of any call. */
  private double detourMillis(long nowMillis, EndpointEntry entry) {
    return domains.toOwn(entry.domain()).roundTripMillis()
        + FAILURE_MILLIS * health.of(entry.id()).failureShare(nowMillis);
  }

  /** Returns the part of an engine's memory that is taken. */
  private static double fill(EndpointWork work, EngineProfile profile) {
    return (double) work.memoryTokens() / Math.max(1, profile.memoryTokens());
  }

  /** Draws one of many endpoints by weight, of the own region if it has any. */
  private List<EndpointEntry> draw(
      List<EndpointEntry> usable, ToDoubleFunction<EndpointEntry> weight) {
    if (usable.size() <= MAX_COMPARED) {
      return usable;
    }
    List<EndpointEntry> near =
        usable.stream()
            .filter(entry -> domains.toOwn(entry.domain()) != Distance.OTHER_REGION)
            .toList();
    return List.of(drawOne(near.isEmpty() ? usable : near, weight));
  }

  private EndpointEntry drawOne(List<EndpointEntry> from, ToDoubleFunction<EndpointEntry> weight) {
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
  private double room(long nowMillis, EndpointEntry entry, EngineProfile profile) {
    double free = Math.max(LEAST_ROOM, 1 - fill(work.at(entry.id(), nowMillis), profile));
    return Math.pow(free, ROOM_POWER) / (FULL_ENGINE_MILLIS + detourMillis(nowMillis, entry));
  }

  /** Sorts by expected time; endpoints that are not trusted stand in only for none. */
  private List<EndpointEntry> ranked(
      long nowMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      ToDoubleFunction<EndpointEntry> millis,
      Optional<ToDoubleFunction<EndpointEntry>> weight) {
    List<EndpointEntry> trusted =
        candidates.stream()
            .filter(entry -> !tried.contains(entry.id()))
            .filter(entry -> health.of(entry.id()).isTrusted(nowMillis))
            .toList();
    List<EndpointEntry> untried =
        candidates.stream().filter(entry -> !tried.contains(entry.id())).toList();
    List<EndpointEntry> usable = trusted.isEmpty() ? untried : trusted;
    if (usable.isEmpty()) {
      usable = candidates;
    }
    if (weight.isPresent()) {
      usable = draw(usable, weight.get());
    }
    Map<EndpointEntry, Double> expected = new HashMap<>();
    usable.forEach(
        entry ->
            expected.put(entry, millis.applyAsDouble(entry) * (1 + JITTER * random.getAsDouble())));
    return usable.stream().sorted(Comparator.comparingDouble(expected::get)).toList();
  }
}
