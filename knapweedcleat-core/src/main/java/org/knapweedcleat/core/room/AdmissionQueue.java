package org.knapweedcleat.core.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Orders the calls that wait for the engines of one service in one region.
 *
 * <p>Calls that have begun come first. Calls that are late follow those that can still be on time,
 * since they may fill engines only up to a lower fraction. Otherwise, ranks and large calls that
 * are served too seldom come first, then the others by rank. Within a rank, accounts within their
 * share come before those over it; then the earliest target counts. The queue is soft state: a call
 * that is not asked for again within its lifetime is dropped.
 */
public final class AdmissionQueue {

  /** Holders ask again every second; a lost question must not cost a call its position. */
  private static final long UNCONFIRMED_LIFETIME_MILLIS = 2_500;

  /** Memory of an engine that calls may fill if none more urgent is to be expected. */
  private static final double USABLE_FRACTION = 0.93;

  /** Memory that a late call may fill, so that calls that can be on time find some. */
  private static final double LATE_USABLE_FRACTION = 0.78;

  /** Upper bound of the fraction that is kept free for more urgent calls. */
  private static final double MAX_RESERVED_FRACTION = 0.15;

  /**
   * Capacity is kept free for the calls that arrive within this time. It only has to last until
   * running streams end: in ThreeRankLoadTest, 150 ms served 4 in 100 fewer calls on time.
   */
  private static final long RESERVE_AHEAD_MILLIS = 40;

  /** How long capacity is collected on one engine for a call: about the time of one stream. */
  private static final long MAX_KEPT_MILLIS = 2_000;

  /** Bounds the engines on which capacity is collected, since it is unused meanwhile. */
  private static final int ENGINES_PER_KEPT_ENGINE = 8;

  /** Bounds the work of one dispatch; calls further behind wait for the next one. */
  private static final int MAX_MISSES = 6;

  /** A stream holds its place for one to three seconds. */
  private static final double HOLD_MILLIS = 2_000;

  private static final long DRAIN_DECAY_MILLIS = 2_000;

  /**
   * The fraction of its waiting time that a call may be expected to wait when it arrives. A longer
   * queue would not serve more calls, and the rest is needed for more urgent calls that arrive
   * later and for collecting the capacity of large ones.
   */
  private static final double MAX_EXPECTED_WAIT_FRACTION = 0.6;

  /** A refused call returns no earlier; bursts usually last longer. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  /** The retry delay grows by this fraction for each more urgent rank. */
  private static final double RETRY_RANK_FACTOR = 0.5;

  /** Assumed time from a placement to the first event until placements tell. */
  private static final double INITIAL_START_MILLIS = 250;

  private static final double START_WEIGHT = 0.05;

  private final Map<CallKey, Entry> entries = new HashMap<>();
  private final RankShares shares = new RankShares();
  private final DecayingSum grantedTokens = new DecayingSum(DRAIN_DECAY_MILLIS);
  private double startMillis = INITIAL_START_MILLIS;
  private int engineCount;
  private long capacityTokens;
  private double meanSpeed = 1;

  private static final class Entry {
    private QueuedCall call;
    private boolean overtaken;
    private Optional<EndpointId> keptEngine = Optional.empty();
    private long keptSinceMillis;

    Entry(QueuedCall call) {
      this.call = call;
    }
  }

  private AdmissionQueue() {}

  /**
   * Returns an empty queue.
   *
   * @return the queue
   */
  public static AdmissionQueue create() {
    return new AdmissionQueue();
  }

  /**
   * Sets the memory of the usable decode engines.
   *
   * @param engines their number
   * @param tokensPerEngine the tokens that each holds
   */
  public void updateCapacity(int engines, long tokensPerEngine) {
    updateCapacity(engines, tokensPerEngine, 1);
  }

  /**
   * Sets the memory and the speed of the usable decode engines.
   *
   * @param engines their number
   * @param tokensPerEngine the tokens that each holds
   * @param meanEngineSpeed their mean speed in multiples of the median engine; streams end sooner
   *     where it is higher
   */
  public void updateCapacity(int engines, long tokensPerEngine, double meanEngineSpeed) {
    engineCount = engines;
    capacityTokens = engines * tokensPerEngine;
    meanSpeed = meanEngineSpeed;
  }

  /**
   * Adds a call, or confirms one that already waits, which keeps its position.
   *
   * @param nowMillis the current time
   * @param call the call
   */
  public void offer(long nowMillis, QueuedCall call) {
    Entry entry = entries.get(call.key());
    if (entry == null) {
      entry = new Entry(call);
      entries.put(call.key(), entry);
      shares.recordArrival(nowMillis, call);
    }
    entry.call = call;
  }

  /**
   * Places a call at once or not at all. Calls that wait go first.
   *
   * @param nowMillis the current time
   * @param call the call, which is not added to the queue
   * @param placer places calls
   * @return the placement, or empty if others wait or no engine has capacity
   */
  public Optional<AdmissionAction> placeAtOnce(
      long nowMillis, QueuedCall call, CapacityPlacer placer) {
    if (!entries.isEmpty()) {
      return Optional.empty();
    }
    return placer
        .place(call, usableFraction(nowMillis, call), Set.of())
        .map(
            placement -> {
              shares.recordArrival(nowMillis, call);
              return grant(nowMillis, call, placement);
            });
  }

  /**
   * Removes a call that has ended.
   *
   * @param key identifies the call
   * @return the call, or empty if it does not wait
   */
  public Optional<QueuedCall> withdraw(CallKey key) {
    return Optional.ofNullable(entries.remove(key)).map(entry -> entry.call);
  }

  /**
   * Decides about the next call. To be called until it decides nothing, after a call was added,
   * capacity was released, or time has passed.
   *
   * @param nowMillis the current time
   * @param placer places calls
   * @return the decision, or empty if no call can be placed and none is to be refused
   */
  public Optional<AdmissionAction> next(long nowMillis, CapacityPlacer placer) {
    entries
        .values()
        .removeIf(entry -> nowMillis - entry.call.heardMillis() > UNCONFIRMED_LIFETIME_MILLIS);
    List<Entry> ordered = ordered(nowMillis);
    Optional<AdmissionAction> granted = placeFirst(nowMillis, placer, ordered);
    return granted.isPresent()
        ? granted
        : ordered.stream()
            .filter(entry -> nowMillis >= entry.call.refuseAtMillis())
            .findFirst()
            .map(entry -> refuse(nowMillis, entry.call));
  }

  private Optional<AdmissionAction> placeFirst(
      long nowMillis, CapacityPlacer placer, List<Entry> ordered) {
    List<Entry> missed = new ArrayList<>();
    Set<EndpointId> kept = new HashSet<>();
    for (Entry entry : ordered) {
      QueuedCall call = entry.call;
      Optional<StreamPlacement> placement =
          placer.place(call, usableFraction(nowMillis, call), kept);
      if (placement.isPresent()) {
        missed.forEach(other -> other.overtaken = true);
        return Optional.of(grant(nowMillis, call, placement.get()));
      }
      missed.add(entry);
      if (missed.size() >= MAX_MISSES) {
        return Optional.empty();
      }
      if (entry.overtaken && kept.size() < maxKeptEngines()) {
        keptEngine(nowMillis, placer, entry, kept).ifPresent(kept::add);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the engine on which capacity is collected for a call that smaller ones have overtaken.
   * Calls behind it avoid that engine.
   */
  private static Optional<EndpointId> keptEngine(
      long nowMillis, CapacityPlacer placer, Entry entry, Set<EndpointId> kept) {
    if (entry.keptEngine.isEmpty()) {
      entry.keptEngine = placer.leastFilled(entry.call, kept);
      entry.keptSinceMillis = nowMillis;
    }
    return entry.keptEngine.filter(engine -> nowMillis - entry.keptSinceMillis < MAX_KEPT_MILLIS);
  }

  private int maxKeptEngines() {
    return Math.max(1, engineCount / ENGINES_PER_KEPT_ENGINE);
  }

  private AdmissionAction grant(long nowMillis, QueuedCall call, StreamPlacement placement) {
    entries.remove(call.key());
    shares.recordGrant(nowMillis, call);
    grantedTokens.add(nowMillis, call.memoryTokens());
    startMillis += START_WEIGHT * (placement.expectedFirstEventMillis() - startMillis);
    return new AdmissionAction.Granted(call, placement);
  }

  private AdmissionAction refuse(long nowMillis, QueuedCall call) {
    entries.remove(call.key());
    return new AdmissionAction.Refused(call, retryAfterMillis(nowMillis, call.rank()));
  }

  /**
   * Refuses a call that has just arrived if it is not expected to be placed in time.
   *
   * @param nowMillis the current time
   * @param key identifies the call
   * @return the refusal, or empty if the call keeps waiting
   */
  public Optional<AdmissionAction> refuseIfHopeless(long nowMillis, CallKey key) {
    Entry entry = entries.get(key);
    if (entry == null || entry.call.started()) {
      return Optional.empty();
    }
    long expectedMillis = position(nowMillis, key).expectedWaitMillis();
    long availableMillis = entry.call.refuseAtMillis() - entry.call.arrivedMillis();
    return expectedMillis > availableMillis * MAX_EXPECTED_WAIT_FRACTION
        ? Optional.of(refuse(nowMillis, entry.call))
        : Optional.empty();
  }

  /**
   * Returns whether a call waits.
   *
   * @param key identifies the call
   * @return false if it was decided, withdrawn or dropped
   */
  public boolean contains(CallKey key) {
    return entries.containsKey(key);
  }

  /**
   * Returns where a call stands.
   *
   * @param nowMillis the current time
   * @param key identifies the call
   * @return its position, which is behind all others if the call does not wait
   */
  public QueuePosition position(long nowMillis, CallKey key) {
    int callsAhead = 0;
    long tokens = 0;
    for (Entry entry : ordered(nowMillis)) {
      if (entry.call.key().equals(key)) {
        break;
      }
      tokens += entry.call.memoryTokens();
      callsAhead++;
    }
    return new QueuePosition(callsAhead, waitMillis(nowMillis, tokens));
  }

  /**
   * Returns the number of waiting calls by rank.
   *
   * @return the counts, without ranks that do not wait
   */
  public Map<Integer, Integer> depthByRank() {
    Map<Integer, Integer> depths = new TreeMap<>();
    entries.values().forEach(entry -> depths.merge(entry.call.rank(), 1, Integer::sum));
    return depths;
  }

  /**
   * Removes all calls of an instance that has ended.
   *
   * @param holder the instance
   */
  public void withdrawAll(IncarnationId holder) {
    entries.keySet().removeIf(key -> key.holder().equals(holder));
  }

  private long waitMillis(long nowMillis, long tokens) {
    double nominal = capacityTokens * USABLE_FRACTION / HOLD_MILLIS * meanSpeed;
    double tokensPerMillis = Math.max(nominal, grantedTokens.perMillis(nowMillis));
    return tokensPerMillis <= 0 ? 0 : (long) (tokens / tokensPerMillis);
  }

  private long retryAfterMillis(long nowMillis, int rank) {
    long waitingTokens =
        entries.values().stream().mapToLong(entry -> entry.call.memoryTokens()).sum();
    double rankFactor = 1 + RETRY_RANK_FACTOR * shares.moreUrgentRanks(rank);
    return (long) ((MIN_RETRY_AFTER_MILLIS + waitMillis(nowMillis, waitingTokens)) * rankFactor);
  }

  private double usableFraction(long nowMillis, QueuedCall call) {
    if (call.started() || shares.isStarved(nowMillis, call)) {
      return USABLE_FRACTION;
    }
    double usable =
        call.canBeOnTime(nowMillis, startMillis) ? USABLE_FRACTION : LATE_USABLE_FRACTION;
    double expectedTokens =
        shares.moreUrgentTokensPerMillis(nowMillis, call.rank()) * RESERVE_AHEAD_MILLIS;
    return usable - Math.min(MAX_RESERVED_FRACTION, expectedTokens / Math.max(1, capacityTokens));
  }

  private List<Entry> ordered(long nowMillis) {
    Map<Integer, Set<String>> accounts = new HashMap<>();
    for (Entry entry : entries.values()) {
      accounts
          .computeIfAbsent(entry.call.rank(), rank -> new HashSet<>())
          .add(entry.call.account());
    }
    Map<Entry, Boolean> starved = new HashMap<>();
    Map<Entry, Boolean> overShare = new HashMap<>();
    for (Entry entry : entries.values()) {
      starved.put(entry, shares.isStarved(nowMillis, entry.call));
      int rank = entry.call.rank();
      overShare.put(
          entry,
          shares.accounts(rank).isOverShare(nowMillis, entry.call.account(), accounts.get(rank)));
    }
    Comparator<Entry> byUrgency =
        Comparator.comparing((Entry entry) -> !entry.call.started())
            .thenComparing(
                entry -> !entry.call.started() && !entry.call.canBeOnTime(nowMillis, startMillis))
            .thenComparing(entry -> !starved.get(entry))
            .thenComparing(entry -> entry.call.rank())
            .thenComparing(overShare::get)
            .thenComparing(entry -> entry.call.targetAtMillis())
            .thenComparing(entry -> entry.call.refuseAtMillis())
            .thenComparing(entry -> entry.call.key().requestId());
    return entries.values().stream().sorted(byUrgency).toList();
  }
}
