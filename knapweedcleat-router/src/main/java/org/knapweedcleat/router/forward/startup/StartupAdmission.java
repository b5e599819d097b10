package org.knapweedcleat.router.forward.startup;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.startup.FleetKnowledge;
import org.knapweedcleat.core.startup.ServiceCapacity;
import org.knapweedcleat.core.startup.StartingCall;
import org.knapweedcleat.core.startup.StartupLimit;
import org.knapweedcleat.core.startup.StartupQueue;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * Admits the calls of an instance gradually after its start, in a large fleet, until it knows the
 * load of the endpoints.
 */
public final class StartupAdmission {

  private final LongSupplier clock;
  private final BooleanSupplier ready;
  private final Function<Set<ServiceId>, FleetKnowledge> knowledge;
  private final Function<ServiceId, ServiceCapacity> capacity;
  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Map<ServiceId, StartupQueue> queues = new HashMap<>();
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private Optional<StartupLimit> limit = Optional.empty();
  private long lastNumber;
  private boolean dispatching;

  /**
   * What orders a call among others.
   *
   * @param rank its rank; 0 is the most urgent
   * @param memoryTokens the engine memory that it needs; 0 for a plain call
   * @param arrivedMillis when it arrived
   * @param targetMillis the time from its arrival until it would be late; 0 if it is late
   * @param maxWaitMillis the longest time that it waits from its arrival
   */
  public record Terms(
      int rank, long memoryTokens, long arrivedMillis, long targetMillis, long maxWaitMillis) {

    private StartingCall toCall(long number) {
      return new StartingCall(
          number,
          rank,
          memoryTokens,
          arrivedMillis,
          arrivedMillis + targetMillis,
          arrivedMillis + maxWaitMillis);
    }
  }

  /** Receives what was decided about a call. */
  public interface Listener {

    /** The call may be placed. */
    void onAdmitted();

    /**
     * The call cannot be served in time.
     *
     * @param retryAfterMillis when it is expected to be admitted if it returns
     */
    void onRefused(long retryAfterMillis);
  }

  private record Waiting(String requestId, Listener listener) {}

  private StartupAdmission(
      LongSupplier clock,
      BooleanSupplier ready,
      Function<Set<ServiceId>, FleetKnowledge> knowledge,
      Function<ServiceId, ServiceCapacity> capacity,
      DecisionLog log,
      MetricRegistry metrics) {
    this.clock = clock;
    this.ready = ready;
    this.knowledge = knowledge;
    this.capacity = capacity;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Returns the admission of an instance that is starting.
   *
   * @param clock supplies the monotonic time in milliseconds
   * @param ready tells whether the instance is ready for calls
   * @param knowledge supplies what is known of the fleet and of the allocators of services
   * @param capacity supplies the capacity of a service
   * @param log records the begin and the end of the limit, and calls that waited
   * @param metrics counts calls that waited and calls that were refused
   * @return the admission
   */
  public static StartupAdmission of(
      LongSupplier clock,
      BooleanSupplier ready,
      Function<Set<ServiceId>, FleetKnowledge> knowledge,
      Function<ServiceId, ServiceCapacity> capacity,
      DecisionLog log,
      MetricRegistry metrics) {
    return new StartupAdmission(clock, ready, knowledge, capacity, log, metrics);
  }

  /** Updates the limit and decides about waiting calls; to be called several times a second. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    if (limit.isEmpty() && ready.getAsBoolean()) {
      limit = Optional.of(StartupLimit.of(nowMillis));
    }
    if (isOver()) {
      return;
    }
    limit.ifPresent(one -> update(nowMillis, one));
    List.copyOf(queues.keySet()).forEach(service -> dispatch(nowMillis, service));
    if (isOver()) {
      queues.clear();
    }
  }

  private boolean isOver() {
    return limit.filter(StartupLimit::isOver).isPresent();
  }

  private void update(long nowMillis, StartupLimit updated) {
    FleetKnowledge known = knowledge.apply(Set.copyOf(queues.keySet()));
    updated.update(nowMillis, known).ifPresent(change -> logChange(change, known));
  }

  /**
   * Returns the turn of a call that has arrived.
   *
   * @param service the service of the call
   * @param requestId the id of its request
   * @return the turn, which has not been requested yet
   */
  public Turn turn(ServiceId service, String requestId) {
    return new Turn(service, requestId);
  }

  /** The admission of one call. */
  public final class Turn {
    private final ServiceId service;
    private final String requestId;
    private final long number = ++lastNumber;

    private Turn(ServiceId service, String requestId) {
      this.service = service;
      this.requestId = requestId;
    }

    /**
     * Asks for the call to be admitted. The listener is called at once or later, but not after the
     * call has ended.
     *
     * @param terms what orders the call among others
     * @param listener receives the decision
     */
    public void request(Terms terms, Listener listener) {
      if (limit.isEmpty() || isOver()) {
        listener.onAdmitted();
        return;
      }
      long nowMillis = clock.getAsLong();
      waiting.put(number, new Waiting(requestId, listener));
      queues
          .computeIfAbsent(service, id -> StartupQueue.create())
          .offer(nowMillis, terms.toCall(number), capacity.apply(service), limit.get())
          .ifPresentOrElse(
              decision -> perform(nowMillis, service, decision),
              () -> metrics.counter("startup.waited").inc());
    }

    /** Ends the call, whether it was admitted or waits; without effect if it was not requested. */
    public void end() {
      waiting.remove(number);
      StartupQueue queue = queues.get(service);
      if (queue != null) {
        queue.end(number);
        dispatch(clock.getAsLong(), service);
      }
    }
  }

  /** Decides about waiting calls; a call that ends meanwhile does not start another dispatch. */
  private void dispatch(long nowMillis, ServiceId service) {
    StartupQueue queue = queues.get(service);
    if (dispatching || queue.isEmpty()) {
      return;
    }
    dispatching = true;
    try {
      ServiceCapacity whole = capacity.apply(service);
      Optional<StartupQueue.Decision> decision = queue.next(nowMillis, whole, limit.get());
      while (decision.isPresent()) {
        perform(nowMillis, service, decision.get());
        decision = queue.next(nowMillis, whole, limit.get());
      }
    } finally {
      dispatching = false;
    }
  }

  private void perform(long nowMillis, ServiceId service, StartupQueue.Decision decision) {
    StartingCall call = decision.call();
    Waiting decided = waiting.remove(call.number());
    long waitedMillis = nowMillis - call.arrivedMillis();
    if (decision instanceof StartupQueue.Decision.Refused refused) {
      metrics.counter("startup.refused").inc();
      logCall("startup.refused", service, decided, call, waitedMillis, refused.retryAfterMillis());
      decided.listener().onRefused(refused.retryAfterMillis());
      return;
    }
    if (waitedMillis > 0) {
      logCall("startup.admitted", service, decided, call, waitedMillis, 0);
    }
    decided.listener().onAdmitted();
  }

  private void logCall(
      String event,
      ServiceId service,
      Waiting decided,
      StartingCall call,
      long waitedMillis,
      long retryAfterMillis) {
    Object[] pairs = {
      "requestId",
      decided.requestId(),
      "service",
      service,
      "rank",
      call.rank(),
      "waitedMillis",
      waitedMillis,
      "sharers",
      limit.map(StartupLimit::sharers).orElse(0),
      "retryAfterMillis",
      retryAfterMillis
    };
    if (event.equals("startup.admitted")) {
      log.success(event, pairs);
    } else {
      log.failure(event, pairs);
    }
  }

  private void logChange(StartupLimit.Change change, FleetKnowledge known) {
    log.stateChange(
        change == StartupLimit.Change.BEGUN ? "startup.limited" : "startup.unlimited",
        "reason",
        change,
        "live",
        known.live(),
        "known",
        known.known(),
        "reported",
        known.reported(),
        "allocatorReachable",
        known.allocatorReachable(),
        "sharers",
        known.sharers());
  }
}
