package org.knapweedcleat.standins.engine;

import java.util.List;
import java.util.Map;

/** The JSON bodies of an engine's responses. */
final class EngineResponses {

  private EngineResponses() {}

  record Granted(boolean granted) {}

  record Imported(boolean imported) {}

  record Released(boolean released) {}

  record Accepted(boolean accepted) {}

  record Prefilled(
      String handle, int promptTokens, int computedTokens, long kvBytes, int evictAfterMillis) {}

  record Token(int position, String text) {}

  record End(int tokens) {}

  record Load(
      int usedPieces,
      int totalPieces,
      int queuedPrefillTokens,
      int runningDecodes,
      List<String> held) {}

  record CacheEvents(long next, List<CacheEvent> events) {}

  record CacheEvent(long number, long hash, String kind) {}

  record Counts(
      long prefills,
      long prefilledTokens,
      long wastedPrefills,
      long wastedTokens,
      long tokensSent,
      int usedPieces,
      List<String> held,
      Map<String, Integer> calls,
      List<EngineRequests.Order> orders,
      long authorizationHeaders) {}
}
