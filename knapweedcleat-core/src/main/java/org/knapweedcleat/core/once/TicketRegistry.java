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
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.HmacSha256;
import org.knapweedcleat.core.attempt.ExecutionStatus;
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
public final class TicketRegistry {

  /** How long a ticket and its outcome are remembered. */
  public static final long TICKET_LIFETIME_MILLIS = 60_000;

  private static final long IDEMPOTENCY_KEY_LIFETIME_MILLIS = 600_000;
  private static final long IN_USE_RETRY_MILLIS = 200;
  private static final int MAX_RECORDS = 100_000;
  private static final int MAX_RECORDS_PER_ACCOUNT = 10_000;
  private static final int MAX_ANSWER_BYTES = 64 << 10;
  private static final long MAX_STORED_BYTES = 32L << 20;
  private static final int MAC_BYTES = 16;

  private final IncarnationId owner;
  private final byte[] secret;
  private final InvariantMonitor monitor;
  private final Map<Long, CallRecord> tickets = new LinkedHashMap<>();
  private final Map<String, CallRecord> idempotencyKeys = new LinkedHashMap<>();
  private final Map<CallRecord, Integer> storedBytes = new HashMap<>();
  private final Map<AccountId, Integer> recordsPerAccount = new HashMap<>();
  private long totalStoredBytes;
  private long lastNumber;

  private TicketRegistry(IncarnationId owner, byte[] secret, InvariantMonitor monitor) {
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
  public static TicketRegistry of(IncarnationId owner, byte[] secret, InvariantMonitor monitor) {
    return new TicketRegistry(owner, secret, monitor);
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
    Ticket ticket = new Ticket(owner, lastNumber, mac(lastNumber, account));
    long expiresAtMillis = nowMillis + TICKET_LIFETIME_MILLIS;
    tickets.put(lastNumber, newRecord(ticket.toString(), account, expiresAtMillis));
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
  public CallDecision start(long nowMillis, Ticket ticket, AccountId account, CallDigest call) {
    purge(nowMillis);
    byte[] expected = mac(ticket.number(), account).getBytes(StandardCharsets.UTF_8);
    byte[] presented = ticket.mac().getBytes(StandardCharsets.UTF_8);
    if (!ticket.owner().equals(owner) || !MessageDigest.isEqual(expected, presented)) {
      return rejectMalformed("the ticket was not given to this client account");
    }
    CallRecord callRecord = tickets.get(ticket.number());
    if (callRecord == null) {
      return reject(ErrorCode.TICKET_EXPIRED, ExecutionStatus.MAYBE, 0, "the ticket's time is over");
    }
    return decide(callRecord, call);
  }

  /**
   * Decides on a call that carries a name of the caller's own.
   *
   * @param nowMillis the time
   * @param idempotencyKey the caller's name for the call
   * @param account the client account whose key came with the call
   * @param call the digest of the call
   * @return what becomes of the call
   */
  public CallDecision startWithIdempotencyKey(long nowMillis, String idempotencyKey, AccountId account, CallDigest call) {
    purge(nowMillis);
    String key = account + "\n" + idempotencyKey;
    CallRecord existing = idempotencyKeys.get(key);
    if (existing != null) {
      return decide(existing, call);
    }
    if (isFull(idempotencyKeys, account)) {
      return reject(
          ErrorCode.QUEUE_FULL, ExecutionStatus.NO, IN_USE_RETRY_MILLIS, "too many names are remembered");
    }
    CallRecord callRecord = newRecord(key, account, nowMillis + IDEMPOTENCY_KEY_LIFETIME_MILLIS);
    idempotencyKeys.put(key, callRecord);
    return decide(callRecord, call);
  }

  /**
   * Remembers how a call came out; one that certainly did nothing may be run again.
   *
   * @param callRecord from the decision to run
   * @param outcome how the call came out
   */
  public void complete(CallRecord callRecord, CallOutcome outcome) {
    if (outcome.executionStatus() == ExecutionStatus.NO) {
      callRecord.reset();
      return;
    }
    callRecord.complete(toStorable(callRecord, outcome));
  }

  /**
   * Counts the tickets that may still come with a first call.
   *
   * @param nowMillis the time
   * @return the count
   */
  public long countUnused(long nowMillis) {
    purge(nowMillis);
    return tickets.values().stream().filter(CallRecord::isUnused).count();
  }

  private CallDecision decide(CallRecord callRecord, CallDigest call) {
    if (callRecord.isBoundToOtherCall(call)) {
      return rejectMalformed("the ticket or name was used for another call");
    }
    if (callRecord.isRunning()) {
      return reject(
          ErrorCode.TICKET_IN_USE, ExecutionStatus.MAYBE, IN_USE_RETRY_MILLIS, "the first call still runs");
    }
    if (callRecord.outcome().isPresent()) {
      return new CallDecision.Replay(callRecord.outcome().get());
    }
    int executions = callRecord.start(call);
    monitor.check(executions == 1, Invariant.AT_MOST_ONCE, callRecord);
    return new CallDecision.Execute(callRecord);
  }

  private CallOutcome toStorable(CallRecord callRecord, CallOutcome outcome) {
    if (!(outcome instanceof CallOutcome.Answered answered)) {
      return outcome;
    }
    int bytes = answered.answer().body().length;
    if (bytes > MAX_ANSWER_BYTES || totalStoredBytes + bytes > MAX_STORED_BYTES) {
      String message = "the call was answered, but the answer was too large to keep";
      return new CallOutcome.Failed(
          new ErrorResponse(ErrorCode.ENDPOINT_LOST, ExecutionStatus.YES, 0, message));
    }
    storedBytes.put(callRecord, bytes);
    totalStoredBytes += bytes;
    return outcome;
  }

  /** Slots are in the order of their expiry, so the first one that is valid ends the search. */
  private void purge(long now) {
    purge(now, tickets);
    purge(now, idempotencyKeys);
  }

  private void purge(long now, Map<?, CallRecord> records) {
    Iterator<CallRecord> oldest = records.values().iterator();
    while (oldest.hasNext()) {
      CallRecord callRecord = oldest.next();
      if (!callRecord.isExpired(now) || callRecord.isRunning()) {
        return;
      }
      oldest.remove();
      recordsPerAccount.computeIfPresent(
          callRecord.account(), (account, count) -> count > 1 ? count - 1 : null);
      Integer bytes = storedBytes.remove(callRecord);
      totalStoredBytes -= bytes == null ? 0 : bytes;
    }
  }

  /** One account cannot take the places of the others. */
  private boolean isFull(Map<?, CallRecord> records, AccountId account) {
    return records.size() >= MAX_RECORDS
        || recordsPerAccount.getOrDefault(account, 0) >= MAX_RECORDS_PER_ACCOUNT;
  }

  private CallRecord newRecord(String name, AccountId account, long expiresAtMillis) {
    recordsPerAccount.merge(account, 1, Integer::sum);
    return CallRecord.of(name, account, expiresAtMillis);
  }

  private String mac(long number, AccountId account) {
    byte[] bytes = HmacSha256.compute(secret, number + "\n" + account);
    return HexFormat.of().formatHex(Arrays.copyOf(bytes, MAC_BYTES));
  }

  private static CallDecision rejectMalformed(String message) {
    return reject(ErrorCode.MALFORMED, ExecutionStatus.NO, 0, message);
  }

  private static CallDecision reject(
      ErrorCode error, ExecutionStatus ran, long retryAfterMillis, String message) {
    return new CallDecision.Reject(new ErrorResponse(error, ran, retryAfterMillis, message));
  }
}
