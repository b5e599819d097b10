package org.knapweedcleat.core.room;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

/** Runs an admission queue over engines in virtual time; each call holds its place for a while. */
final class QueueSimulation {

  static final IncarnationId HOLDER = IncarnationId.of(InstanceId.of("holder"), 1);
  static final long HOLD_MILLIS = 2_000;

  final FakeCapacity capacity;
  private final long holdSpreadMillis;
  private final Random random = new Random(7);
  AdmissionQueue queue = AdmissionQueue.create();
  private final PriorityQueue<Release> releases =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
  private final List<AdmissionAction> actions = new ArrayList<>();
  private final Map<String, Integer> offered = new HashMap<>();
  private final Map<String, Integer> granted = new HashMap<>();
  private final Map<String, Integer> onTime = new HashMap<>();

  private record Release(long atMillis, AdmissionAction.Granted grant) {}

  QueueSimulation(int engines, long memoryTokens) {
    this(engines, memoryTokens, 0);
  }

  /** Creates a simulation whose calls hold their places for times that vary by the spread. */
  QueueSimulation(int engines, long memoryTokens, long holdSpreadMillis) {
    this.holdSpreadMillis = holdSpreadMillis;
    this.capacity = new FakeCapacity(engines, memoryTokens);
    queue.updateCapacity(engines, memoryTokens);
  }

  /** Returns a call whose kind, the part of its id before a dash, its outcome is counted by. */
  static QueuedCall call(
      String id, int rank, String account, long tokens, long nowMillis, long targetMillis) {
    return new QueuedCall(
        new CallKey(HOLDER, id),
        false,
        rank,
        account,
        tokens,
        nowMillis,
        nowMillis,
        nowMillis + targetMillis,
        nowMillis + targetMillis);
  }

  /** Offers a call and returns the refusal if it cannot be served in time. */
  Optional<AdmissionAction> offer(long nowMillis, QueuedCall call) {
    run(nowMillis);
    offered.merge(kind(call), 1, Integer::sum);
    queue.offer(nowMillis, call);
    dispatch(nowMillis);
    return queue.refuseIfHopeless(nowMillis, call.key());
  }

  /** Lets time pass: places end, and the queue is asked about the released capacity. */
  void run(long untilMillis) {
    while (!releases.isEmpty() && releases.peek().atMillis() <= untilMillis) {
      Release release = releases.poll();
      capacity.release(
          release.grant().placement().decode().id(), release.grant().call().memoryTokens());
      dispatch(release.atMillis());
    }
    dispatch(untilMillis);
  }

  private void dispatch(long nowMillis) {
    Optional<AdmissionAction> action = queue.next(nowMillis, capacity);
    while (action.isPresent()) {
      actions.add(action.get());
      if (action.get() instanceof AdmissionAction.Granted grant) {
        releases.add(new Release(nowMillis + holdMillis(), grant));
        granted.merge(kind(grant.call()), 1, Integer::sum);
        if (grant.call().canBeOnTime(nowMillis, 200)) {
          onTime.merge(kind(grant.call()), 1, Integer::sum);
        }
      }
      action = queue.next(nowMillis, capacity);
    }
  }

  private long holdMillis() {
    return HOLD_MILLIS + (long) ((random.nextDouble() - 0.5) * holdSpreadMillis);
  }

  List<AdmissionAction> actions() {
    return actions;
  }

  List<String> grantedIds() {
    return actions.stream()
        .filter(AdmissionAction.Granted.class::isInstance)
        .map(action -> action.call().key().requestId())
        .toList();
  }

  double servedShare(String kind) {
    return (double) granted.getOrDefault(kind, 0) / offered.get(kind);
  }

  double servedShare() {
    return (double) granted.values().stream().mapToInt(Integer::intValue).sum()
        / offered.values().stream().mapToInt(Integer::intValue).sum();
  }

  double onTimeShare(String kind) {
    return (double) onTime.getOrDefault(kind, 0) / offered.get(kind);
  }

  private static String kind(QueuedCall call) {
    return call.key().requestId().replaceFirst("-.*", "");
  }
}
