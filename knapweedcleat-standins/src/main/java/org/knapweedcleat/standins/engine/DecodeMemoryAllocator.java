package org.knapweedcleat.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The memory of an engine that decodes, held by request. */
final class DecodeMemoryAllocator {

  private final int totalPieces;
  private final Map<String, Reservation> reservations = new HashMap<>();

  private DecodeMemoryAllocator(int totalPieces) {
    this.totalPieces = totalPieces;
  }

  static DecodeMemoryAllocator of(int totalPieces) {
    return new DecodeMemoryAllocator(totalPieces);
  }

  /** Reserves pieces; empty when there are too few. A newer attempt replaces an older one. */
  Optional<Reservation> reserve(EngineRequests.Reserve call) {
    Reservation present = reservations.get(call.request());
    int usable = totalPieces - usedPieces() + (present == null ? 0 : present.pieces);
    if (call.pieces() > usable) {
      return Optional.empty();
    }
    Reservation holding = new Reservation(call.attempt(), call.pieces());
    reservations.put(call.request(), holding);
    return Optional.of(holding);
  }

  Optional<Reservation> find(String request, int attempt) {
    return Optional.ofNullable(reservations.get(request)).filter(holding -> holding.attempt == attempt);
  }

  boolean isCurrent(String request, Reservation holding) {
    return reservations.get(request) == holding;
  }

  boolean release(String request) {
    return reservations.remove(request) != null;
  }

  void clear() {
    reservations.clear();
  }

  int usedPieces() {
    return reservations.values().stream().mapToInt(holding -> holding.pieces).sum();
  }

  List<String> requests() {
    return List.copyOf(reservations.keySet());
  }

  /** What one request holds. */
  static final class Reservation {

    private final int attempt;
    private final int pieces;
    private boolean imported;
    private long seed;

    private Reservation(int attempt, int pieces) {
      this.attempt = attempt;
      this.pieces = pieces;
    }

    void markImported(long importedSeed) {
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
