package org.knapweedcleat.core.once;

import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;

/** What a {@link TicketRegistry} remembers of one call. */
public final class CallRecord {

  private final String name;
  private final AccountId account;
  private final long expiresAtMillis;
  private Optional<CallDigest> digest = Optional.empty();
  private Optional<CallOutcome> outcome = Optional.empty();
  private boolean running;
  private int executions;

  private CallRecord(String name, AccountId account, long expiresAtMillis) {
    this.name = name;
    this.account = account;
    this.expiresAtMillis = expiresAtMillis;
  }

  static CallRecord of(String name, AccountId account, long expiresAtMillis) {
    return new CallRecord(name, account, expiresAtMillis);
  }

  AccountId account() {
    return account;
  }

  Optional<CallOutcome> outcome() {
    return outcome;
  }

  boolean isRunning() {
    return running;
  }

  boolean isUnused() {
    return digest.isEmpty();
  }

  boolean isExpired(long nowMillis) {
    return nowMillis >= expiresAtMillis;
  }

  /** Tells whether the slot was used for another call before. */
  boolean isBoundToOtherCall(CallDigest other) {
    return digest.filter(known -> !known.equals(other)).isPresent();
  }

  /** Counts the runs that may have had effects, this one included. */
  int start(CallDigest callDigest) {
    digest = Optional.of(callDigest);
    running = true;
    executions++;
    return executions;
  }

  void complete(CallOutcome result) {
    running = false;
    outcome = Optional.of(result);
  }

  /** Frees the slot after a run that certainly did nothing. */
  void reset() {
    running = false;
    executions--;
  }

  @Override
  public String toString() {
    return name;
  }
}
