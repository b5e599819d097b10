package org.knapweedcleat.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What tests ask an engine about afterwards. */
final class EngineCounts {

  private final Map<String, Integer> calls = new TreeMap<>();
  private final List<Calls.Order> orders = new ArrayList<>();
  private long prefills;
  private long prefilledTokens;
  private long wastedPrefills;
  private long wastedTokens;
  private long tokensSent;

  private EngineCounts() {}

  static EngineCounts create() {
    return new EngineCounts();
  }

  void call(String stage, String request, int attempt) {
    calls.merge(stage + " " + request + " " + attempt, 1, Integer::sum);
  }

  void prefilled(int tokens) {
    prefills++;
    prefilledTokens += tokens;
  }

  void wasted(int tokens) {
    wastedPrefills++;
    wastedTokens += tokens;
  }

  void tokenSent() {
    tokensSent++;
  }

  void order(Calls.Order order) {
    orders.add(order);
  }

  Replies.Counts report(int usedPieces, List<String> held, long authorizationHeaders) {
    return new Replies.Counts(
        prefills,
        prefilledTokens,
        wastedPrefills,
        wastedTokens,
        tokensSent,
        usedPieces,
        held,
        calls,
        orders,
        authorizationHeaders);
  }
}
