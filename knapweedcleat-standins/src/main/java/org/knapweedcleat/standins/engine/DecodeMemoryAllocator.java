package org.knapweedcleat.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reserves a decode engine's memory by request. */
final class DecodeMemoryAllocator {

  private final int totalPieces;
  private final Map<String, Reservation> reservations = new HashMap<>();

  private DecodeMemoryAllocator(int totalPieces) {
    this.totalPieces = totalPieces;
  }

  static DecodeMemoryAllocator of(int totalPieces) {
    return new DecodeMemoryAllocator(totalPieces);
  }

  /**
   * Reserves memory pieces, replacing an earlier reservation of the same request; empty if too few
   * are free.
   */
  Optional<Reservation> reserve(EngineRequests.Reserve call) {
    Reservation previous = reservations.get(call.request());
    int availablePieces = totalPieces - usedPieces() + (previous == null ? 0 : previous.pieces);
    if (call.pieces() > availablePieces) {
      return Optional.empty();
    }
    Reservation reservation = new Reservation(call.attempt(), call.pieces());
    reservations.put(call.request(), reservation);
    return Optional.of(reservation);
  }

  Optional<Reservation> find(String request, int attempt) {
    return Optional.ofNullable(reservations.get(request))
        .filter(reservation -> reservation.attempt == attempt);
  }

  boolean isCurrent(String request, Reservation reservation) {
    return reservations.get(request) == reservation;
  }

  boolean release(String request) {
    return reservations.remove(request) != null;
  }

  void clear() {
    reservations.clear();
  }

  int usedPieces() {
    return reservations.values().stream().mapToInt(reservation -> reservation.pieces).sum();
  }

  List<String> requests() {
    return List.copyOf(reservations.keySet());
  }

  /** The memory reserved for one attempt of a request, and the imported KV cache. */
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
