package org.knapweedcleat.core.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.attempt.KeyedCode;
import org.knapweedcleat.core.attempt.Ran;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * The tickets that one incarnation gave, and the outcomes of the calls that came with them.
 *
 * <p>A ticket that the book does not know has expired: a call with it never runs. A name given by a
 * caller is remembered in the same way, but an unknown name is a new one, so it promises less.
 */
public final class TicketBook {

  /** How long a ticket and its outcome are remembered. */
  public static final long LIFETIME_MILLIS = 60_000;

  private static final long NAME_LIFETIME_MILLIS = 600_000;
  private static final long IN_USE_RETRY_MILLIS = 200;
  private static final int MAX_SLOTS = 100_000;
  private static final int MAX_SLOTS_PER_ACCOUNT = 10_000;
  private static final int MAX_ANSWER_BYTES = 64 << 10;
  private static final long MAX_KEPT_BYTES = 32L << 20;
  private static final int CHECK_BYTES = 16;

  private final IncarnationId owner;
  private final byte[] secret;
  private final InvariantMonitor monitor;
  private final Map<Long, CallSlot> tickets = new LinkedHashMap<>();
  private final Map<String, CallSlot> names = new LinkedHashMap<>();
  private final Map<CallSlot, Integer> keptBytes = new HashMap<>();
  private final Map<AccountId, Integer> slotsOfAccount = new HashMap<>();
  private long totalKeptBytes;
  private long lastNumber;

  private TicketBook(IncarnationId owner, byte[] secret, InvariantMonitor monitor) {
    this.owner = owner;
    this.secret = secret.clone();
    this.monitor = monitor;
  }

  /**
   * Returns an empty book.
   *
   * @param owner the incarnation that gives the tickets
   * @param secret random bytes that only this incarnation knows, not empty
   * @param monitor where invariants are checked
   * @return the book
   */
  public static TicketBook of(IncarnationId owner, byte[] secret, InvariantMonitor monitor) {
    return new TicketBook(owner, secret, monitor);
  }

  /**
   * Gives a ticket.
   *
   * @param nowMillis the time, monotonic, going on while the process is paused
   * @param account the client account that may use it
   * @return empty when too many are out
   */
  public Optional<Ticket> issue(long nowMillis, AccountId account) {
    purge(nowMillis);
    if (isFull(tickets, account)) {
      return Optional.empty();
    }
    lastNumber++;
    Ticket ticket = new Ticket(owner, lastNumber, check(lastNumber, account));
    long expires = nowMillis + LIFETIME_MILLIS;
    tickets.put(lastNumber, slot(ticket.toString(), account, expires));
    return Optional.of(ticket);
  }

  /**
   * Decides on a call that carries a ticket of this book's owner.
   *
   * @param nowMillis the time
   * @param ticket the ticket
   * @param account the client account whose key came with the call
   * @param call the digest of the call
   * @return what becomes of the call
   */
  public CallDecision begin(long nowMillis, Ticket ticket, AccountId account, CallDigest call) {
    purge(nowMillis);
    byte[] expected = check(ticket.number(), account).getBytes(StandardCharsets.UTF_8);
    byte[] presented = ticket.check().getBytes(StandardCharsets.UTF_8);
    if (!ticket.owner().equals(owner) || !MessageDigest.isEqual(expected, presented)) {
      return malformed("the ticket was not given to this client account");
    }
    CallSlot slot = tickets.get(ticket.number());
    if (slot == null) {
      return refuse(CallerError.TICKET_EXPIRED, Ran.MAYBE, 0, "the ticket's time is over");
    }
    return decide(slot, call);
  }

  /**
   * Decides on a call that carries a name of the caller's own.
   *
   * @param nowMillis the time
   * @param name the caller's name for the call
   * @param account the client account whose key came with the call
   * @param call the digest of the call
   * @return what becomes of the call
   */
  public CallDecision beginNamed(long nowMillis, String name, AccountId account, CallDigest call) {
    purge(nowMillis);
    String key = account + "\n" + name;
    CallSlot known = names.get(key);
    if (known != null) {
      return decide(known, call);
    }
    if (isFull(names, account)) {
      return refuse(
          CallerError.QUEUE_FULL, Ran.NO, IN_USE_RETRY_MILLIS, "too many names are remembered");
    }
    CallSlot slot = slot(key, account, nowMillis + NAME_LIFETIME_MILLIS);
    names.put(key, slot);
    return decide(slot, call);
  }

  /**
   * Remembers how a call came out; one that certainly did nothing may be run again.
   *
   * @param slot from the decision to run
   * @param outcome how the call came out
   */
  public void finish(CallSlot slot, CallOutcome outcome) {
    if (outcome.ran() == Ran.NO) {
      slot.free();
      return;
    }
    slot.finish(keepable(slot, outcome));
  }

  /**
   * Counts the tickets that may still come with a first call.
   *
   * @param nowMillis the time
   * @return the count
   */
  public long unused(long nowMillis) {
    purge(nowMillis);
    return tickets.values().stream().filter(CallSlot::isUnused).count();
  }

  private CallDecision decide(CallSlot slot, CallDigest call) {
    if (slot.isOtherCall(call)) {
      return malformed("the ticket or name was used for another call");
    }
    if (slot.isRunning()) {
      return refuse(
          CallerError.TICKET_IN_USE, Ran.MAYBE, IN_USE_RETRY_MILLIS, "the first call still runs");
    }
    if (slot.outcome().isPresent()) {
      return new CallDecision.Replay(slot.outcome().get());
    }
    int runs = slot.begin(call);
    monitor.check(runs == 1, Invariant.AT_MOST_ONCE, slot);
    return new CallDecision.Run(slot);
  }

  private CallOutcome keepable(CallSlot slot, CallOutcome outcome) {
    if (!(outcome instanceof CallOutcome.Answered answered)) {
      return outcome;
    }
    int bytes = answered.answer().body().length;
    if (bytes > MAX_ANSWER_BYTES || totalKeptBytes + bytes > MAX_KEPT_BYTES) {
      String message = "the call was answered, but the answer was too large to keep";
      return new CallOutcome.Failed(
          new CallerFailure(CallerError.ENDPOINT_LOST, Ran.YES, 0, message));
    }
    keptBytes.put(slot, bytes);
    totalKeptBytes += bytes;
    return outcome;
  }

  /** Slots are in the order of their expiry, so the first one that is valid ends the search. */
  private void purge(long now) {
    purge(now, tickets);
    purge(now, names);
  }

  private void purge(long now, Map<?, CallSlot> slots) {
    Iterator<CallSlot> oldest = slots.values().iterator();
    while (oldest.hasNext()) {
      CallSlot slot = oldest.next();
      if (!slot.isExpired(now) || slot.isRunning()) {
        return;
      }
      oldest.remove();
      slotsOfAccount.computeIfPresent(
          slot.account(), (account, count) -> count > 1 ? count - 1 : null);
      Integer bytes = keptBytes.remove(slot);
      totalKeptBytes -= bytes == null ? 0 : bytes;
    }
  }

  /** One account cannot take the places of the others. */
  private boolean isFull(Map<?, CallSlot> slots, AccountId account) {
    return slots.size() >= MAX_SLOTS
        || slotsOfAccount.getOrDefault(account, 0) >= MAX_SLOTS_PER_ACCOUNT;
  }

  private CallSlot slot(String name, AccountId account, long expiresAtMillis) {
    slotsOfAccount.merge(account, 1, Integer::sum);
    return CallSlot.of(name, account, expiresAtMillis);
  }

  private String check(long number, AccountId account) {
    byte[] code = KeyedCode.of(secret, number + "\n" + account);
    return HexFormat.of().formatHex(Arrays.copyOf(code, CHECK_BYTES));
  }

  private static CallDecision malformed(String message) {
    return refuse(CallerError.MALFORMED, Ran.NO, 0, message);
  }

  private static CallDecision refuse(
      CallerError error, Ran ran, long retryAfterMillis, String message) {
    return new CallDecision.Refuse(new CallerFailure(error, ran, retryAfterMillis, message));
  }
}
