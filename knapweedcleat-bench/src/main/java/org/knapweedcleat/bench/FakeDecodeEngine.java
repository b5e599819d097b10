package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.EndpointLoad;

/** A decode engine: continuous batching, one token a step for each request of the batch. */
final class FakeDecodeEngine {

  private final EndpointId id;
  private final EventQueue events;
  private final EngineSpeeds speeds;
  private final int totalPieces;
  private final Map<RequestId, Integer> reserved = new LinkedHashMap<>();
  private final Map<RequestId, Stream> batch = new LinkedHashMap<>();
  private int usedPieces;
  private boolean stepping;
  private boolean lost;

  private FakeDecodeEngine(EndpointId id, EventQueue events, EngineSpeeds speeds, int totalPieces) {
    this.id = id;
    this.events = events;
    this.speeds = speeds;
    this.totalPieces = totalPieces;
  }

  static FakeDecodeEngine of(
      EndpointId id, EventQueue events, EngineSpeeds speeds, int totalPieces) {
    return new FakeDecodeEngine(id, events, speeds, totalPieces);
  }

  boolean isLost() {
    return lost;
  }

  boolean reserve(RequestId request, int pieces) {
    if (lost || usedPieces + pieces > totalPieces || reserved.containsKey(request)) {
      return false;
    }
    reserved.put(request, pieces);
    usedPieces += pieces;
    return true;
  }

  void release(RequestId request) {
    batch.remove(request);
    Integer pieces = reserved.remove(request);
    if (pieces != null) {
      usedPieces -= pieces;
    }
  }

  /** Generates tokens for a request whose cache was imported. */
  void decode(RequestId request, int tokens, StreamListener listener) {
    if (lost) {
      listener.failed();
      return;
    }
    batch.put(request, new Stream(tokens, listener));
    step();
  }

  void lose() {
    lost = true;
    reserved.clear();
    usedPieces = 0;
    List<Stream> streams = List.copyOf(batch.values());
    batch.clear();
    streams.forEach(stream -> stream.listener.failed());
  }

  EndpointLoad load() {
    List<RequestId> held = List.copyOf(reserved.keySet());
    return new EndpointLoad(id, usedPieces, totalPieces, 0, batch.size(), held);
  }

  private void step() {
    if (stepping || batch.isEmpty()) {
      return;
    }
    stepping = true;
    long micros = speeds.stepBaseMicros() + (long) batch.size() * speeds.stepRequestMicros();
    Map<RequestId, Stream> stepped = new LinkedHashMap<>(batch);
    events.after(micros, () -> completeStep(stepped));
  }

  private void completeStep(Map<RequestId, Stream> stepped) {
    stepping = false;
    List<Runnable> calls = new ArrayList<>();
    stepped.forEach(
        (request, stream) -> {
          if (batch.get(request) == stream) {
            calls.add(() -> stream.listener.token());
            stream.remaining--;
            if (stream.remaining == 0) {
              release(request);
              calls.add(() -> stream.listener.ended());
            }
          }
        });
    step();
    calls.forEach(Runnable::run);
  }

  /** Hears of a stream. */
  interface StreamListener {
    void token();

    void ended();

    void failed();
  }

  private static final class Stream {
    private final StreamListener listener;
    private int remaining;

    private Stream(int tokens, StreamListener listener) {
      this.remaining = tokens;
      this.listener = listener;
    }
  }
}
