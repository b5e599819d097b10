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
 * Simulates schedulers and engines behind a network that delays, duplicates, reorders and loses
 * messages.
 *
 * <p>A call changes the memory of its endpoint when it is sent, or not at all. Its response becomes
 * a pending event that may be delivered at any later time.
 */
final class FakeEngines {

  private static final int ENDPOINTS = 2;

  private final Random random;
  private final int faultPercent;
  private final Map<EndpointId, Set<Integer>> heldAttempts = new HashMap<>();
  private final List<SplitRequestEvent> pendingEvents = new ArrayList<>();

  FakeEngines(Random random, int faultPercent) {
    this.random = random;
    this.faultPercent = faultPercent;
  }

  /** Performs an action; only calls and placement requests have responses. */
  void perform(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.Place place) {
      pendingEvents.add(new SplitRequestEvent.PlacementDecided(decide(place.request())));
    } else if (action instanceof SplitRequestAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitRequestAction.StartTimer timer) {
      pendingEvents.add(new SplitRequestEvent.TimerFired(timer.attempt()));
    } else if (action instanceof SplitRequestAction.Prefill prefill) {
      answer(
          new SplitRequestEvent.Prefilled(prefill.attempt(), "handle", 1),
          new SplitRequestEvent.PrefillFailed(prefill.attempt(), randomFailure()));
    } else if (action instanceof SplitRequestAction.Import transfer) {
      answer(
          new SplitRequestEvent.Imported(transfer.attempt()),
          new SplitRequestEvent.ImportFailed(transfer.attempt(), CallFailure.EVICTED));
    } else if (action instanceof SplitRequestAction.Decode decode) {
      decode(decode);
    }
  }

  /** Returns a random pending event; it may stay pending and be delivered again. */
  Optional<SplitRequestEvent> next() {
    if (pendingEvents.isEmpty()) {
      return Optional.empty();
    }
    int index = random.nextInt(pendingEvents.size());
    boolean duplicated = random.nextInt(100) < faultPercent / 2;
    return Optional.of(duplicated ? pendingEvents.get(index) : pendingEvents.remove(index));
  }

  /** Releases all memory of an endpoint, as a cancellation does. */
  void release(EndpointId endpoint) {
    heldAttempts.getOrDefault(endpoint, new HashSet<>()).clear();
  }

  /** Restarts a random decode endpoint, which then holds nothing. */
  void restart() {
    release(decodeEndpoint());
  }

  boolean holdsNothing() {
    return heldAttempts.values().stream().allMatch(Set::isEmpty);
  }

  private boolean injectFault() {
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
    CallFailure failure = randomFailure();
    boolean failed = injectFault();
    if (!failed || failure == CallFailure.UNKNOWN) {
      heldAttempts.computeIfAbsent(reserve.decode(), key -> new HashSet<>()).add(attempt);
    }
    pendingEvents.add(
        failed
            ? new SplitRequestEvent.ReserveFailed(attempt, failure)
            : new SplitRequestEvent.Reserved(attempt));
  }

  private void decode(SplitRequestAction.Decode decode) {
    int stream = decode.stream();
    Set<Integer> memory = heldAttempts.getOrDefault(decode.decode(), new HashSet<>());
    if (!memory.contains(decode.attempt())) {
      pendingEvents.add(new SplitRequestEvent.StreamBroken(stream, CallFailure.NOT_HELD));
      return;
    }
    boolean breaks = injectFault();
    int last = breaks ? decode.fromPosition() + random.nextInt(4) : decode.maxTokens();
    for (int i = decode.fromPosition(); i < Math.min(last, decode.maxTokens()); i++) {
      pendingEvents.add(new SplitRequestEvent.TokenArrived(stream, new AnswerToken(i, "t" + i)));
    }
    if (breaks) {
      pendingEvents.add(new SplitRequestEvent.StreamBroken(stream, CallFailure.UNKNOWN));
    } else {
      memory.remove(decode.attempt());
      pendingEvents.add(new SplitRequestEvent.StreamEnded(stream, decode.maxTokens()));
    }
  }

  private void answer(SplitRequestEvent success, SplitRequestEvent failure) {
    pendingEvents.add(injectFault() ? failure : success);
  }

  private CallFailure randomFailure() {
    CallFailure[] candidates = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    return candidates[random.nextInt(candidates.length)];
  }
}
