package org.knapweedcleat.core.once;

import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;

/** The state and outcome of one call in a {@link TicketRegistry}. */
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

  /** Returns whether the record was already used for a different call. */
  boolean isBoundToOtherCall(CallDigest other) {
    return digest.filter(known -> !known.equals(other)).isPresent();
  }

  /**
   * Starts an execution and returns the number of executions that may have had effects, including
   * this one.
   */
  int start(CallDigest callDigest) {
    digest = Optional.of(callDigest);
    running = true;
    executions++;
    return executions;
  }

  void complete(CallOutcome callOutcome) {
    running = false;
    outcome = Optional.of(callOutcome);
  }

  /** Makes the record available again after an execution that certainly did nothing. */
  void reset() {
    running = false;
    executions--;
  }

  @Override
  public String toString() {
    return name;
  }
}
