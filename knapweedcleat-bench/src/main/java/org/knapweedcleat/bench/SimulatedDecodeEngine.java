package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.EndpointLoad;

/** A decode engine with continuous batching: each step yields a token per request in the batch. */
final class SimulatedDecodeEngine {

  private final EndpointId id;
  private final EventQueue events;
  private final EngineParameters parameters;
  private final int totalPieces;
  private final Map<RequestId, Integer> reservedPieces = new LinkedHashMap<>();
  private final Map<RequestId, Stream> batch = new LinkedHashMap<>();
  private int usedPieces;
  private boolean stepRunning;
  private boolean failed;

  private SimulatedDecodeEngine(
      EndpointId id, EventQueue events, EngineParameters parameters, int totalPieces) {
    this.id = id;
    this.events = events;
    this.parameters = parameters;
    this.totalPieces = totalPieces;
  }

  static SimulatedDecodeEngine of(
      EndpointId id, EventQueue events, EngineParameters parameters, int totalPieces) {
    return new SimulatedDecodeEngine(id, events, parameters, totalPieces);
  }

  boolean isFailed() {
    return failed;
  }

  boolean reserve(RequestId request, int pieces) {
    if (failed || usedPieces + pieces > totalPieces || reservedPieces.containsKey(request)) {
      return false;
    }
    reservedPieces.put(request, pieces);
    usedPieces += pieces;
    return true;
  }

  void release(RequestId request) {
    batch.remove(request);
    Integer pieces = reservedPieces.remove(request);
    if (pieces != null) {
      usedPieces -= pieces;
    }
  }

  /** Generates tokens for a request whose KV cache has been imported. */
  void decode(RequestId request, int tokens, StreamListener listener) {
    if (failed) {
      listener.onFailure();
      return;
    }
    batch.put(request, new Stream(tokens, listener));
    startStep();
  }

  void fail() {
    failed = true;
    reservedPieces.clear();
    usedPieces = 0;
    List<Stream> streams = List.copyOf(batch.values());
    batch.clear();
    streams.forEach(stream -> stream.listener.onFailure());
  }

  EndpointLoad load() {
    List<RequestId> held = List.copyOf(reservedPieces.keySet());
    return new EndpointLoad(id, usedPieces, totalPieces, 0, batch.size(), held);
  }

  private void startStep() {
    if (stepRunning || batch.isEmpty()) {
      return;
    }
    stepRunning = true;
    long micros =
        parameters.decodeStepBaseMicros()
            + (long) batch.size() * parameters.decodeStepPerRequestMicros();
    Map<RequestId, Stream> stepBatch = new LinkedHashMap<>(batch);
    events.scheduleAfter(micros, () -> completeStep(stepBatch));
  }

  private void completeStep(Map<RequestId, Stream> stepBatch) {
    stepRunning = false;
    List<Runnable> callbacks = new ArrayList<>();
    stepBatch.forEach(
        (request, stream) -> {
          if (batch.get(request) == stream) {
            callbacks.add(() -> stream.listener.onToken());
            stream.remainingTokens--;
            if (stream.remainingTokens == 0) {
              release(request);
              callbacks.add(() -> stream.listener.onEnd());
            }
          }
        });
    startStep();
    callbacks.forEach(Runnable::run);
  }

  /** Receives the events of a token stream. */
  interface StreamListener {
    void onToken();

    void onEnd();

    void onFailure();
  }

  private static final class Stream {
    private final StreamListener listener;
    private int remainingTokens;

    private Stream(int tokens, StreamListener listener) {
      this.remainingTokens = tokens;
      this.listener = listener;
    }
  }
}
