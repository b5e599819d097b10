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
  private final List<SplitEvent> flying = new ArrayList<>();

  FakeEngines(Random random, int faultPercent) {
    this.random = random;
    this.faultPercent = faultPercent;
  }

  /** Carries out an action; only calls and questions have answers. */
  void perform(SplitAction action) {
    if (action instanceof SplitAction.Place place) {
      flying.add(new SplitEvent.Decided(decide(place.request())));
    } else if (action instanceof SplitAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitAction.StartTimer timer) {
      flying.add(new SplitEvent.TimerFired(timer.attempt()));
    } else if (action instanceof SplitAction.Prefill prefill) {
      answer(
          new SplitEvent.Prefilled(prefill.attempt(), "handle", 1),
          new SplitEvent.PrefillFailed(prefill.attempt(), anyFailure()));
    } else if (action instanceof SplitAction.Import transfer) {
      answer(
          new SplitEvent.Imported(transfer.attempt()),
          new SplitEvent.ImportFailed(transfer.attempt(), CallFailure.EVICTED));
    } else if (action instanceof SplitAction.Decode decode) {
      decode(decode);
    }
  }

  /** Takes an event out of the air, in any order; it may stay there to arrive again. */
  Optional<SplitEvent> next() {
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

  private void reserve(SplitAction.Reserve reserve) {
    int attempt = reserve.attempt();
    CallFailure failure = anyFailure();
    boolean failed = faulty();
    if (!failed || failure == CallFailure.UNKNOWN) {
      held.computeIfAbsent(reserve.decode(), key -> new HashSet<>()).add(attempt);
    }
    flying.add(
        failed ? new SplitEvent.ReserveFailed(attempt, failure) : new SplitEvent.Reserved(attempt));
  }

  private void decode(SplitAction.Decode decode) {
    int stream = decode.stream();
    Set<Integer> memory = held.getOrDefault(decode.decode(), new HashSet<>());
    if (!memory.contains(decode.attempt())) {
      flying.add(new SplitEvent.StreamBroken(stream, CallFailure.NOT_HELD));
      return;
    }
    boolean breaks = faulty();
    int last = breaks ? decode.fromPosition() + random.nextInt(4) : decode.maxTokens();
    for (int i = decode.fromPosition(); i < Math.min(last, decode.maxTokens()); i++) {
      flying.add(new SplitEvent.TokenArrived(stream, new AnswerToken(i, "t" + i)));
    }
    if (breaks) {
      flying.add(new SplitEvent.StreamBroken(stream, CallFailure.UNKNOWN));
    } else {
      memory.remove(decode.attempt());
      flying.add(new SplitEvent.StreamEnded(stream, decode.maxTokens()));
    }
  }

  private void answer(SplitEvent good, SplitEvent bad) {
    flying.add(faulty() ? bad : good);
  }

  private CallFailure anyFailure() {
    CallFailure[] all = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    return all[random.nextInt(all.length)];
  }
}
