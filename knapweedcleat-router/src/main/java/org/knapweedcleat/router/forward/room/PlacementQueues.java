package org.knapweedcleat.router.forward.room;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.room.AdmissionAction;
import org.knapweedcleat.core.room.AdmissionQueue;
import org.knapweedcleat.core.room.CallKey;
import org.knapweedcleat.core.room.CapacityPlacer;
import org.knapweedcleat.core.room.QueuePosition;
import org.knapweedcleat.core.room.QueuedCall;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * The admission queues of the services whose streams this instance places, as coordinator of its
 * region.
 */
final class PlacementQueues {

  /**
   * A grant is repeated to a holder that asks again because its notice was lost or is on its way.
   */
  private static final long GRANT_REPEAT_MILLIS = 2_000;

  /** Ranks beyond this are counted together, so that the number of metrics is bounded. */
  private static final int MAX_METRIC_RANK = 9;

  private final Allocation allocation;
  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();

  /** Places streams and reaches their holders. */
  interface Allocation {

    /** Places a stream and reserves its capacity. */
    Optional<StreamPlacement> place(
        IncarnationId owner,
        StreamPlacementQuery query,
        double usableMemoryFraction,
        Set<EndpointId> avoided);

    /** Returns the least filled engine that may run a stream. */
    Optional<EndpointId> leastFilled(StreamPlacementQuery query, Set<EndpointId> avoided);

    /** Updates the capacity that a queue counts on. */
    void updateCapacity(ServiceId service, AdmissionQueue queue);

    /** Returns whether the streams of an instance are served by this one. */
    boolean isLocal(IncarnationId owner);

    /** Sends a notice to an instance. */
    void send(IncarnationId owner, StreamAdmissionNotice notice);
  }

  private record Grant(long atMillis, StreamPlacementQuery query, StreamAdmissionReply reply) {

    /** Returns whether a query repeats the granted one, and its holder can use the engines. */
    boolean isUsableFor(StreamPlacementQuery other) {
      return query.promptTokens() == other.promptTokens()
          && query.triedEngines().equals(other.triedEngines())
          && query.failedPrefillEngines().equals(other.failedPrefillEngines())
          && !other.unusableEngines().contains(reply.placement().decodeEngine())
          && !other.unusableEngines().contains(reply.placement().prefillEngine());
    }
  }

  PlacementQueues(Allocation allocation, DecisionLog log, MetricRegistry metrics) {
    this.allocation = allocation;
    this.log = log;
    this.metrics = metrics;
  }

  /** Answers a query of a stream's holder. */
  StreamAdmissionReply onQuery(long nowMillis, IncarnationId owner, StreamAdmissionQuery query) {
    return queues
        .computeIfAbsent(ServiceId.of(query.stream().service()), ServiceQueue::new)
        .onQuery(nowMillis, owner, query);
  }

  /** Removes a stream that has ended; its capacity, if any, has been released. */
  void release(long nowMillis, IncarnationId owner, String requestId) {
    queues.values().forEach(queue -> queue.release(nowMillis, new CallKey(owner, requestId)));
  }

  /** Removes all streams of an instance that has ended. */
  void release(IncarnationId owner) {
    queues.values().forEach(queue -> queue.release(owner));
  }

  /** Places what has found capacity meanwhile and refuses what has waited too long. */
  void tick(long nowMillis) {
    queues.values().forEach(queue -> queue.tick(nowMillis));
  }

  /** The queue of one service. */
  private final class ServiceQueue implements CapacityPlacer {
    private final ServiceId service;
    private final AdmissionQueue queue = AdmissionQueue.create();
    private final Map<CallKey, StreamPlacementQuery> queries = new HashMap<>();
    private final Map<CallKey, Grant> grants = new HashMap<>();
    private boolean dispatching;

    ServiceQueue(ServiceId service) {
      this.service = service;
    }

    @Override
    public Optional<StreamPlacement> place(
        QueuedCall call, double usableMemoryFraction, Set<EndpointId> avoided) {
      return allocation.place(
          call.key().holder(), queries.get(call.key()), usableMemoryFraction, avoided);
    }

    @Override
    public Optional<EndpointId> leastFilled(QueuedCall call, Set<EndpointId> avoided) {
      return allocation.leastFilled(queries.get(call.key()), avoided);
    }

    StreamAdmissionReply onQuery(long nowMillis, IncarnationId owner, StreamAdmissionQuery query) {
      CallKey key = new CallKey(owner, query.stream().requestId());
      Grant grant = grants.get(key);
      if (grant != null && grant.isUsableFor(query.stream())) {
        return grant.reply();
      }
      allocation.updateCapacity(service, queue);
      QueuedCall call = queuedCall(nowMillis, key, query);
      queries.put(key, query.stream());
      if (!query.mayQueue()) {
        Optional<AdmissionAction> placed = queue.placeAtOnce(nowMillis, call, this);
        queries.remove(key);
        return placed
            .map(action -> record(nowMillis, action, query.stream()))
            .orElseGet(() -> StreamAdmissionReply.refused(0));
      }
      queue.offer(nowMillis, call);
      Optional<StreamAdmissionReply> decided =
          dispatch(nowMillis, Optional.of(key))
              .or(
                  () ->
                      queue
                          .refuseIfHopeless(nowMillis, key)
                          .map(action -> record(nowMillis, action, queries.remove(key))));
      return decided.orElseGet(
          () -> {
            QueuePosition position = queue.position(nowMillis, key);
            return StreamAdmissionReply.queued(
                position.expectedWaitMillis(), position.callsAhead());
          });
    }

    void release(long nowMillis, CallKey key) {
      grants.remove(key);
      queries.remove(key);
      queue.withdraw(key).ifPresent(call -> logDecision("room.withdrawn", nowMillis, call, 0));
      dispatch(nowMillis, Optional.empty());
    }

    void release(IncarnationId owner) {
      queue.withdrawAll(owner);
      queries.keySet().removeIf(key -> key.holder().equals(owner));
      grants.keySet().removeIf(key -> key.holder().equals(owner));
    }

    void tick(long nowMillis) {
      grants.values().removeIf(grant -> nowMillis - grant.atMillis() > GRANT_REPEAT_MILLIS);
      if (!queries.isEmpty()) {
        allocation.updateCapacity(service, queue);
        dispatch(nowMillis, Optional.empty());
        queries.keySet().removeIf(key -> !queue.contains(key));
      }
      queue
          .depthByRank()
          .forEach((rank, depth) -> metrics.histogram(metricName("depth", rank)).update(depth));
    }

    /**
     * Tells holders what is decided now.
     *
     * @return the decision about the asking call, which is not sent
     */
    private Optional<StreamAdmissionReply> dispatch(long nowMillis, Optional<CallKey> asking) {
      if (dispatching) {
        return Optional.empty();
      }
      dispatching = true;
      try {
        Optional<StreamAdmissionReply> reply = Optional.empty();
        Optional<AdmissionAction> action = queue.next(nowMillis, this);
        while (action.isPresent()) {
          CallKey key = action.get().call().key();
          StreamAdmissionReply decided = record(nowMillis, action.get(), queries.remove(key));
          if (asking.filter(key::equals).isEmpty()) {
            allocation.send(key.holder(), new StreamAdmissionNotice(key.requestId(), decided));
          } else {
            reply = Optional.of(decided);
            if (allocation.isLocal(key.holder())) {
              // The capacity of a local stream counts only once it has received the reply.
              return reply;
            }
          }
          action = queue.next(nowMillis, this);
        }
        return reply;
      } finally {
        dispatching = false;
      }
    }

    private StreamAdmissionReply record(
        long nowMillis, AdmissionAction action, StreamPlacementQuery query) {
      QueuedCall call = action.call();
      if (action instanceof AdmissionAction.Granted granted) {
        StreamAdmissionReply reply =
            StreamAdmissionReply.placed(StreamPlacementReply.of(granted.placement()));
        grants.put(call.key(), new Grant(nowMillis, query, reply));
        metrics.histogram(metricName("wait", call.rank())).update(nowMillis - call.arrivedMillis());
        logDecision("room.admitted", nowMillis, call, 0);
        return reply;
      }
      long retryAfterMillis = ((AdmissionAction.Refused) action).retryAfterMillis();
      metrics.counter(metricName("refused", call.rank())).inc();
      logDecision("room.refused", nowMillis, call, retryAfterMillis);
      return StreamAdmissionReply.refused(retryAfterMillis);
    }

    private void logDecision(String event, long nowMillis, QueuedCall call, long retryAfterMillis) {
      QueuePosition position = queue.position(nowMillis, call.key());
      Object[] pairs = {
        "requestId",
        call.key().requestId(),
        "service",
        service,
        "rank",
        call.rank(),
        "account",
        call.account(),
        "waitedMillis",
        nowMillis - call.arrivedMillis(),
        "callsWaiting",
        position.callsAhead(),
        "depthByRank",
        queue.depthByRank(),
        "expectedWaitMillis",
        position.expectedWaitMillis(),
        "heardMillisAgo",
        nowMillis - call.heardMillis(),
        "retryAfterMillis",
        retryAfterMillis
      };
      if (event.equals("room.admitted")) {
        log.success(event, pairs);
      } else {
        log.failure(event, pairs);
      }
    }
  }

  private static String metricName(String measure, int rank) {
    return "room." + measure + ".rank" + Math.max(0, Math.min(rank, MAX_METRIC_RANK));
  }

  private static QueuedCall queuedCall(long nowMillis, CallKey key, StreamAdmissionQuery query) {
    long arrivedMillis = nowMillis - query.waitedMillis();
    return new QueuedCall(
        key,
        query.started(),
        query.rank(),
        query.account(),
        query.stream().memoryTokens(),
        arrivedMillis,
        nowMillis,
        arrivedMillis + query.targetMillis(),
        arrivedMillis + query.maxWaitMillis());
  }
}
