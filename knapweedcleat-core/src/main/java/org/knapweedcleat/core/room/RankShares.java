package org.knapweedcleat.core.room;

import java.util.Map;
import java.util.TreeMap;

/** Tracks how many calls of each rank recently arrived and were served. */
final class RankShares {

  /** Long enough to count some tens of calls of a rank, short enough to follow a burst. */
  private static final long DECAY_MILLIS = 10_000;

  /** The period within which an arrival counts as recent for the reserve of capacity. */
  private static final long ARRIVAL_DECAY_MILLIS = 1_000;

  /**
   * A rank goes first when it is served less often than this fraction of all calls. Callers need a
   * quarter; the rest covers grants that engines refuse.
   */
  private static final double MIN_SERVED_FRACTION = 0.35;

  /** Fewer calls say nothing about how often a rank is served. */
  private static final double MIN_CALLS = 4;

  /** A call is large if it needs this multiple of the mean of its rank; about a tenth of calls. */
  private static final double LARGE_FACTOR = 1.5;

  /**
   * Large calls go first when they are served less often than this fraction of the calls of their
   * rank. Callers need half; the rest covers grants that engines refuse.
   */
  private static final double MIN_LARGE_FRACTION = 0.65;

  private final Map<Integer, Counts> ranks = new TreeMap<>();

  private static final class Counts {
    private final DecayingSum arrivals = new DecayingSum(DECAY_MILLIS);
    private final DecayingSum grants = new DecayingSum(DECAY_MILLIS);
    private final DecayingSum arrivingTokens = new DecayingSum(ARRIVAL_DECAY_MILLIS);
    private final DecayingSum offeredTokens = new DecayingSum(DECAY_MILLIS);
    private final DecayingSum largeArrivals = new DecayingSum(DECAY_MILLIS);
    private final DecayingSum largeGrants = new DecayingSum(DECAY_MILLIS);
    private final AccountShares accounts = new AccountShares();

    private boolean isLarge(long nowMillis, long tokens) {
      return tokens * arrivals.value(nowMillis) > LARGE_FACTOR * offeredTokens.value(nowMillis);
    }

    private boolean starvesLargeCalls(long nowMillis) {
      double ownLarge = largeArrivals.value(nowMillis);
      return ownLarge >= MIN_CALLS
          && largeGrants.value(nowMillis) * arrivals.value(nowMillis)
              < MIN_LARGE_FRACTION * grants.value(nowMillis) * ownLarge;
    }
  }

  void recordArrival(long nowMillis, QueuedCall call) {
    Counts counts = counts(call.rank());
    counts.arrivals.add(nowMillis, 1);
    counts.arrivingTokens.add(nowMillis, call.memoryTokens());
    counts.offeredTokens.add(nowMillis, call.memoryTokens());
    if (counts.isLarge(nowMillis, call.memoryTokens())) {
      counts.largeArrivals.add(nowMillis, 1);
    }
  }

  void recordGrant(long nowMillis, QueuedCall call) {
    Counts counts = counts(call.rank());
    counts.grants.add(nowMillis, 1);
    if (counts.isLarge(nowMillis, call.memoryTokens())) {
      counts.largeGrants.add(nowMillis, 1);
    }
    counts.accounts.recordGrant(nowMillis, call.account(), call.memoryTokens());
  }

  AccountShares accounts(int rank) {
    return counts(rank).accounts;
  }

  /** Returns whether calls like this one are served so seldom that they go before urgent ones. */
  boolean isStarved(long nowMillis, QueuedCall call) {
    Counts counts = counts(call.rank());
    return isStarved(nowMillis, call.rank())
        || (counts.isLarge(nowMillis, call.memoryTokens()) && counts.starvesLargeCalls(nowMillis));
  }

  /** Returns whether a rank is served so seldom that it goes before more urgent ones. */
  private boolean isStarved(long nowMillis, int rank) {
    double arrivals = 0;
    double grants = 0;
    for (Counts each : ranks.values()) {
      arrivals += each.arrivals.value(nowMillis);
      grants += each.grants.value(nowMillis);
    }
    Counts counts = counts(rank);
    double ownArrivals = counts.arrivals.value(nowMillis);
    return ownArrivals >= MIN_CALLS
        && counts.grants.value(nowMillis) * arrivals < MIN_SERVED_FRACTION * grants * ownArrivals;
  }

  /** Returns the tokens per millisecond that calls of more urgent ranks recently asked for. */
  double moreUrgentTokensPerMillis(long nowMillis, int rank) {
    double tokensPerMillis = 0;
    for (Map.Entry<Integer, Counts> each : ranks.entrySet()) {
      if (each.getKey() < rank) {
        tokensPerMillis += each.getValue().arrivingTokens.perMillis(nowMillis);
      }
    }
    return tokensPerMillis;
  }

  /** Returns how many known ranks are more urgent. */
  int moreUrgentRanks(int rank) {
    return (int) ranks.keySet().stream().filter(each -> each < rank).count();
  }

  private Counts counts(int rank) {
    return ranks.computeIfAbsent(rank, id -> new Counts());
  }
}
