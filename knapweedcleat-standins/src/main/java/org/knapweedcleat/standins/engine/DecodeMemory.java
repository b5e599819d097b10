package org.knapweedcleat.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The memory of an engine that decodes, held by request. */
final class DecodeMemory {

  private final int totalPieces;
  private final Map<String, Holding> holdings = new HashMap<>();

  private DecodeMemory(int totalPieces) {
    this.totalPieces = totalPieces;
  }

  static DecodeMemory of(int totalPieces) {
    return new DecodeMemory(totalPieces);
  }

  /** Reserves pieces; empty when there are too few. A newer attempt replaces an older one. */
  Optional<Holding> reserve(Calls.Reserve call) {
    Holding present = holdings.get(call.request());
    int usable = totalPieces - usedPieces() + (present == null ? 0 : present.pieces);
    if (call.pieces() > usable) {
      return Optional.empty();
    }
    Holding holding = new Holding(call.attempt(), call.pieces());
    holdings.put(call.request(), holding);
    return Optional.of(holding);
  }

  Optional<Holding> find(String request, int attempt) {
    return Optional.ofNullable(holdings.get(request)).filter(holding -> holding.attempt == attempt);
  }

  boolean holds(String request, Holding holding) {
    return holdings.get(request) == holding;
  }

  boolean release(String request) {
    return holdings.remove(request) != null;
  }

  void clear() {
    holdings.clear();
  }

  int usedPieces() {
    return holdings.values().stream().mapToInt(holding -> holding.pieces).sum();
  }

  List<String> held() {
    return List.copyOf(holdings.keySet());
  }

  /** What one request holds. */
  static final class Holding {

    private final int attempt;
    private final int pieces;
    private boolean imported;
    private long seed;

    private Holding(int attempt, int pieces) {
      this.attempt = attempt;
      this.pieces = pieces;
    }

    void fill(long importedSeed) {
      imported = true;
      seed = importedSeed;
    }

    boolean imported() {
      return imported;
    }

    long seed() {
      return seed;
    }
  }
}
