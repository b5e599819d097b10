package org.knapweedcleat.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts an engine's calls and work for tests to query. */
final class EngineCounters {

  private final Map<String, Integer> calls = new TreeMap<>();
  private final List<EngineRequests.Order> orders = new ArrayList<>();
  private long prefills;
  private long prefilledTokens;
  private long wastedPrefills;
  private long wastedTokens;
  private long tokensSent;

  private EngineCounters() {}

  static EngineCounters create() {
    return new EngineCounters();
  }

  void recordCall(String stage, String request, int attempt) {
    calls.merge(stage + " " + request + " " + attempt, 1, Integer::sum);
  }

  void recordPrefill(int tokens) {
    prefills++;
    prefilledTokens += tokens;
  }

  void recordWastedPrefill(int tokens) {
    wastedPrefills++;
    wastedTokens += tokens;
  }

  void recordTokenSent() {
    tokensSent++;
  }

  void recordOrder(EngineRequests.Order order) {
    orders.add(order);
  }

  EngineResponses.Counts snapshot(int usedPieces, List<String> held, long authorizationHeaders) {
    return new EngineResponses.Counts(
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
