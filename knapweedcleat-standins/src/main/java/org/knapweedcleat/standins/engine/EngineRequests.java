package org.knapweedcleat.standins.engine;

import java.util.List;

/** The JSON bodies of requests to an engine. */
final class EngineRequests {

  private EngineRequests() {}

  record Reserve(String request, int attempt, int pieces, long holdMillis) {}

  record Prefill(String request, int attempt, String prompt, List<Long> prefixHashes) {

    List<Long> prefixHashesOrEmpty() {
      return prefixHashes == null ? List.of() : prefixHashes;
    }
  }

  record Import(String request, int attempt, String handle, String sourceHost, int sourcePort) {}

  record Decode(String request, int attempt, int fromPosition, int maxTokens) {}

  record Cancel(String request) {}

  record Order(String kind, String subject, long fencingNumber) {}
}
