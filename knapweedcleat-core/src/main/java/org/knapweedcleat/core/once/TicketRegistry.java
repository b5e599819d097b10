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
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.attempt.HmacSha256;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * The tickets issued by one incarnation and the outcomes of the calls made with them.
 *
 * <p>An unknown ticket counts as expired, so a call with it never runs. Idempotency keys chosen by
 * callers are stored in the same way, but their guarantee is weaker: an unknown key counts as new,
 * even if it was used before and has expired.
 */
public final class TicketRegistry {

  /** How long a ticket and its outcome are stored. */
  public static final long TICKET_LIFETIME_MILLIS = 60_000;

  private static final long IDEMPOTENCY_KEY_LIFETIME_MILLIS = 600_000;
  private static final long RETRY_AFTER_MILLIS = 200;
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
   * Returns an empty registry.
   *
   * @param owner the incarnation that issues the tickets
   * @param secret non-empty random bytes known only to this incarnation
   * @param monitor records invariant violations
   * @return the registry
   */
  public static TicketRegistry of(IncarnationId owner, byte[] secret, InvariantMonitor monitor) {
    return new TicketRegistry(owner, secret, monitor);
  }

  /**
   * Issues a ticket.
   *
   * @param nowMillis the current time of a monotonic clock that keeps running while the process is
   *     paused
   * @param account the client account that may use the ticket
   * @return the ticket, or empty if too many are valid
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
   * Decides whether a call with a ticket of this registry's owner may run.
   *
   * @param nowMillis the current time of the same clock
   * @param ticket the ticket
   * @param account the client account of the presented API key
   * @param call the digest of the call
   * @return the decision
   */
  public CallDecision start(long nowMillis, Ticket ticket, AccountId account, CallDigest call) {
    purge(nowMillis);
    byte[] expected = mac(ticket.number(), account).getBytes(StandardCharsets.UTF_8);
    byte[] presented = ticket.mac().getBytes(StandardCharsets.UTF_8);
    if (!ticket.owner().equals(owner) || !MessageDigest.isEqual(expected, presented)) {
      return rejectMalformed("the ticket was not issued to this client account");
    }
    CallRecord callRecord = tickets.get(ticket.number());
    if (callRecord == null) {
      return reject(ErrorCode.TICKET_EXPIRED, ExecutionStatus.MAYBE, 0, "the ticket has expired");
    }
    return decide(callRecord, call);
  }

  /**
   * Decides whether a call with an idempotency key may run.
   *
   * @param nowMillis the current time of the same clock
   * @param idempotencyKey the idempotency key chosen by the caller
   * @param account the client account of the presented API key
   * @param call the digest of the call
   * @return the decision
   */
  public CallDecision startWithIdempotencyKey(
      long nowMillis, String idempotencyKey, AccountId account, CallDigest call) {
    purge(nowMillis);
    String key = account + "\n" + idempotencyKey;
    CallRecord existing = idempotencyKeys.get(key);
    if (existing != null) {
      return decide(existing, call);
    }
    if (isFull(idempotencyKeys, account)) {
      return reject(
          ErrorCode.QUEUE_FULL,
          ExecutionStatus.NO,
          RETRY_AFTER_MILLIS,
          "too many idempotency keys are in use");
    }
    CallRecord callRecord = newRecord(key, account, nowMillis + IDEMPOTENCY_KEY_LIFETIME_MILLIS);
    idempotencyKeys.put(key, callRecord);
    return decide(callRecord, call);
  }

  /**
   * Stores the outcome of a call. A call that certainly did nothing may run again.
   *
   * @param callRecord the record from the decision to execute
   * @param outcome the outcome of the call
   */
  public void complete(CallRecord callRecord, CallOutcome outcome) {
    if (outcome.executionStatus() == ExecutionStatus.NO) {
      callRecord.reset();
      return;
    }
    callRecord.complete(toStorable(callRecord, outcome));
  }

  /**
   * Returns the number of valid tickets that have not been used for a call.
   *
   * @param nowMillis the current time of the same clock
   * @return the count
   */
  public long countUnused(long nowMillis) {
    purge(nowMillis);
    return tickets.values().stream().filter(CallRecord::isUnused).count();
  }

  private CallDecision decide(CallRecord callRecord, CallDigest call) {
    if (callRecord.isBoundToOtherCall(call)) {
      return rejectMalformed("the ticket or idempotency key was used for another call");
    }
    if (callRecord.isRunning()) {
      return reject(
          ErrorCode.TICKET_IN_USE,
          ExecutionStatus.MAYBE,
          RETRY_AFTER_MILLIS,
          "the first call is still running");
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
      String message = "the call was answered, but the answer was too large to store";
      return new CallOutcome.Failed(
          new ErrorResponse(ErrorCode.ENDPOINT_LOST, ExecutionStatus.YES, 0, message));
    }
    storedBytes.put(callRecord, bytes);
    totalStoredBytes += bytes;
    return outcome;
  }

  /**
   * Removes expired records. Records are ordered by expiry, so the search ends at the first one
   * that is valid or still running.
   */
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

  /**
   * Returns whether no record can be added; the limit per account keeps one account from using up
   * the records of the others.
   */
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
      ErrorCode code, ExecutionStatus executionStatus, long retryAfterMillis, String message) {
    return new CallDecision.Reject(
        new ErrorResponse(code, executionStatus, retryAfterMillis, message));
  }
}
