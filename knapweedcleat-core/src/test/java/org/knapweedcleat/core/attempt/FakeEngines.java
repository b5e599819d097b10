package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RefusalReason;

/**
 * Schedulers and engines behind a network that delays, doubles, reorders and loses.
 *
 * <p>A call acts on its endpoint's memory when it is sent, or not at all; its answer is put among
 * those that may arrive at any later time.
 */
final class FakeEngines {

  private static final int ENDPOINTS = 2;

  private final Random random;
  private final int faultPercent;
  private final Map<EndpointId, Set<Integer>> held = new HashMap<>();
  private final List<SplitRequestEvent> flying = new ArrayList<>();

  FakeEngines(Random random, int faultPercent) {
    this.random = random;
    this.faultPercent = faultPercent;
  }

  /** Carries out an action; only calls and questions have answers. */
  void perform(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.Place place) {
      flying.add(new SplitRequestEvent.PlacementDecided(decide(place.request())));
    } else if (action instanceof SplitRequestAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitRequestAction.StartTimer timer) {
      flying.add(new SplitRequestEvent.TimerFired(timer.attempt()));
    } else if (action instanceof SplitRequestAction.Prefill prefill) {
      answer(
          new SplitRequestEvent.Prefilled(prefill.attempt(), "handle", 1),
          new SplitRequestEvent.PrefillFailed(prefill.attempt(), anyFailure()));
    } else if (action instanceof SplitRequestAction.Import transfer) {
      answer(
          new SplitRequestEvent.Imported(transfer.attempt()),
          new SplitRequestEvent.ImportFailed(transfer.attempt(), CallFailure.EVICTED));
    } else if (action instanceof SplitRequestAction.Decode decode) {
      decode(decode);
    }
  }

  /** Takes an event out of the air, in any order; it may stay there to arrive again. */
  Optional<SplitRequestEvent> next() {
    if (flying.isEmpty()) {
      return Optional.empty();
    }
    int index = random.nextInt(flying.size());
    boolean doubled = random.nextInt(100) < faultPercent / 2;
    return Optional.of(doubled ? flying.get(index) : flying.remove(index));
  }

  /** Releases what an endpoint holds, as its confirmed cancel says. */
  void release(EndpointId endpoint) {
    held.getOrDefault(endpoint, new HashSet<>()).clear();
  }

  /** Restarts an endpoint: it holds nothing any more. */
  void restart() {
    release(decodeEndpoint());
  }

  boolean holdsNothing() {
    return held.values().stream().allMatch(Set::isEmpty);
  }

  private boolean faulty() {
    return random.nextInt(100) < faultPercent;
  }

  private PlacementDecision decide(PlacementRequest request) {
    RequestId id = request.request();
    if (random.nextInt(100) < faultPercent / 4) {
      return new PlacementDecision.Refused(id, request.attempt(), RefusalReason.QUEUE_FULL, 5);
    }
    EndpointId prefill = EndpointId.of("prefill-" + random.nextInt(ENDPOINTS));
    return new PlacementDecision.Split(
        id, request.attempt(), prefill, decodeEndpoint(), random.nextInt(2));
  }

  private EndpointId decodeEndpoint() {
    return EndpointId.of("decode-" + random.nextInt(ENDPOINTS));
  }

  private void reserve(SplitRequestAction.Reserve reserve) {
    int attempt = reserve.attempt();
    CallFailure failure = anyFailure();
    boolean failed = faulty();
    if (!failed || failure == CallFailure.UNKNOWN) {
      held.computeIfAbsent(reserve.decode(), key -> new HashSet<>()).add(attempt);
    }
    flying.add(
        failed ? new SplitRequestEvent.ReserveFailed(attempt, failure) : new SplitRequestEvent.Reserved(attempt));
  }

  private void decode(SplitRequestAction.Decode decode) {
    int stream = decode.stream();
    Set<Integer> memory = held.getOrDefault(decode.decode(), new HashSet<>());
    if (!memory.contains(decode.attempt())) {
      flying.add(new SplitRequestEvent.StreamBroken(stream, CallFailure.NOT_HELD));
      return;
    }
    boolean breaks = faulty();
    int last = breaks ? decode.fromPosition() + random.nextInt(4) : decode.maxTokens();
    for (int i = decode.fromPosition(); i < Math.min(last, decode.maxTokens()); i++) {
      flying.add(new SplitRequestEvent.TokenArrived(stream, new AnswerToken(i, "t" + i)));
    }
    if (breaks) {
      flying.add(new SplitRequestEvent.StreamBroken(stream, CallFailure.UNKNOWN));
    } else {
      memory.remove(decode.attempt());
      flying.add(new SplitRequestEvent.StreamEnded(stream, decode.maxTokens()));
    }
  }

  private void answer(SplitRequestEvent good, SplitRequestEvent bad) {
    flying.add(faulty() ? bad : good);
  }

  private CallFailure anyFailure() {
    CallFailure[] all = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    return all[random.nextInt(all.length)];
  }
}
