package org.knapweedcleat.router.forward.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.intake.CallerLimits;
import org.knapweedcleat.core.intake.CallerMemoryBudget;
import org.knapweedcleat.core.intake.CallerMemoryBudget.Eviction;
import org.knapweedcleat.core.intake.CallerMemoryBudget.Victim;
import org.knapweedcleat.core.intake.HeldMemory;
import org.knapweedcleat.core.intake.SyntaxLimits;

/** Applies the decisions on memory and numbers to the connections of callers. */
final class CallerIntake {

  static final String NO_MEMORY = "the memory for callers is full";
  private static final String TOO_MANY_PARTIAL = "too many requests are received at once";
  private static final String TOO_MANY_CONNECTIONS = "too many connections";

  /** Connections beyond the limit that stay open until their refusal has been read. */
  private static final int MAX_REFUSED_CONNECTIONS = 32;

  private final LongSupplier clock;
  private final CallerServerLimits limits;
  private final Supplier<RequestLimits> published;
  private final CallerMemoryBudget budget;
  private final Optional<CallerIntakeLog> log;
  private final Map<HeldMemory, CallerConnection> connections = new HashMap<>();
  private RequestLimits syntaxBasis;
  private SyntaxLimits syntax;
  private boolean relieving;
  private boolean resuming;

  private CallerIntake(
      LongSupplier clock,
      CallerServerLimits limits,
      Supplier<RequestLimits> published,
      Optional<CallerIntakeLog> log) {
    this.clock = clock;
    this.limits = limits;
    this.published = published;
    this.budget = CallerMemoryBudget.of(limits.memoryBytes());
    this.log = log;
    log.ifPresent(observer -> observer.observe(budget));
  }

  static CallerIntake of(
      LongSupplier clock,
      CallerServerLimits limits,
      Supplier<RequestLimits> published,
      Optional<CallerIntakeLog> log) {
    return new CallerIntake(clock, limits, published, log);
  }

  CallerLimits limits() {
    return limits.own();
  }

  /** Returns the limits in force on the form of requests. */
  SyntaxLimits syntaxLimits() {
    RequestLimits current = published.get();
    if (!current.equals(syntaxBasis)) {
      syntaxBasis = current;
      syntax = SyntaxLimits.of(limits.own(), current);
    }
    return syntax;
  }

  HeldMemory open(CallerConnection connection, String caller) {
    HeldMemory held = budget.open(caller, clock.getAsLong());
    connections.put(held, connection);
    return held;
  }

  void close(HeldMemory held) {
    budget.close(held);
    connections.remove(held);
    resumeStopped();
  }

  /** Makes room for a connection that was accepted, or refuses it. */
  void admit(CallerConnection connection) {
    int excess = connections.size() - limits.maxConnections();
    if (excess <= 0) {
      return;
    }
    long nowMillis = clock.getAsLong();
    Optional<Victim> victim =
        budget.silentConnection(nowMillis).or(() -> budget.stalledConnection(nowMillis));
    if (victim.isPresent()) {
      HeldMemory held = victim.get().held();
      record(CallerIntakeLog.Event.CLOSED, TOO_MANY_CONNECTIONS, held);
      CallerConnection closed = connections.get(held);
      // No victim any more, although its socket closes a little later.
      close(held);
      closed.closeNow(victim.get().eviction());
      return;
    }
    record(CallerIntakeLog.Event.REFUSED, TOO_MANY_CONNECTIONS, connection.held());
    if (excess <= MAX_REFUSED_CONNECTIONS) {
      connection.refuseForLoad();
    } else {
      close(connection.held());
      connection.close();
    }
  }

  boolean admitsBody(HeldMemory held, long bodyBytes) {
    boolean admitted = budget.admitsBody(held, bodyBytes);
    if (!admitted) {
      record(CallerIntakeLog.Event.REFUSED, NO_MEMORY, held);
    }
    return admitted;
  }

  boolean admitsCall(HeldMemory held) {
    boolean admitted = budget.admitsCall(held);
    if (!admitted) {
      record(CallerIntakeLog.Event.REFUSED, NO_MEMORY, held);
    }
    return admitted;
  }

  boolean admitsNextCall(HeldMemory held) {
    return budget.admitsNextCall(held);
  }

  boolean mayHoldResponse(HeldMemory held, long responseBytes) {
    return budget.mayHoldResponse(held, responseBytes);
  }

  boolean mayRead(HeldMemory held) {
    boolean wasStopped = held.isStopped();
    boolean reads = budget.mayRead(held, clock.getAsLong());
    if (!reads && !wasStopped) {
      record(CallerIntakeLog.Event.PAUSED, NO_MEMORY, held);
    }
    return reads;
  }

  long retryAfterMillis(HeldMemory held) {
    return budget.retryAfterMillis(held);
  }

  void recordProgress(HeldMemory held) {
    budget.recordProgress(held, clock.getAsLong());
  }

  /** Records what a connection holds, and frees memory if this is more than the capacity. */
  void update(
      HeldMemory held, boolean isPartial, long partialBytes, long completeBytes, long unreadBytes) {
    long before = budget.totalBytes();
    budget.update(held, isPartial, partialBytes, completeBytes, unreadBytes);
    if (budget.totalBytes() > budget.capacityBytes()) {
      relieve();
    } else if (budget.totalBytes() < before) {
      resumeStopped();
    }
    if (isPartial && budget.partialRequests() > limits.maxPartialRequests()) {
      HeldMemory victim =
          budget.stalledConnection(clock.getAsLong()).map(Victim::held).orElse(held);
      evict(new Victim(victim, Eviction.REFUSE), TOO_MANY_PARTIAL);
    }
  }

  /** Ends and resumes connections as the budget decides. */
  void relieve() {
    if (relieving) {
      return;
    }
    relieving = true;
    try {
      Optional<Victim> victim = budget.nextVictim(clock.getAsLong());
      while (victim.isPresent()) {
        long before = budget.totalBytes();
        evict(victim.get(), NO_MEMORY);
        resumeStopped();
        if (budget.totalBytes() >= before) {
          break;
        }
        victim = budget.nextVictim(clock.getAsLong());
      }
      resumeStopped();
    } finally {
      relieving = false;
    }
  }

  private void evict(Victim victim, String reason) {
    CallerConnection connection = connections.get(victim.held());
    if (connection == null) {
      return;
    }
    if (victim.eviction() == Eviction.REFUSE) {
      record(CallerIntakeLog.Event.REFUSED, reason, victim.held());
      connection.refuseForLoad();
    } else {
      record(CallerIntakeLog.Event.CLOSED, reason, victim.held());
      connection.closeNow(Eviction.CLOSE);
    }
  }

  /** Not recursive, since a resumed connection may free memory, too, and the stack is small. */
  private void resumeStopped() {
    if (resuming || budget.stoppedConnections() == 0) {
      return;
    }
    resuming = true;
    try {
      List<HeldMemory> resumable = budget.resumable(clock.getAsLong());
      while (!resumable.isEmpty()) {
        resumable.forEach(this::resume);
        resumable = budget.resumable(clock.getAsLong());
      }
    } finally {
      resuming = false;
    }
  }

  private void resume(HeldMemory held) {
    CallerConnection connection = connections.get(held);
    if (connection != null) {
      connection.resumeReading();
    }
  }

  private void record(CallerIntakeLog.Event event, String reason, HeldMemory held) {
    log.ifPresent(observer -> observer.record(event, reason, held, budget));
  }
}
