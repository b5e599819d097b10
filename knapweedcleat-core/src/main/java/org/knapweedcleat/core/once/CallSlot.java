package org.knapweedcleat.core.once;

import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;

/** What a {@link TicketBook} remembers of one call. */
public final class CallSlot {

  private final String name;
  private final AccountId account;
  private final long expiresAtMillis;
  private Optional<CallDigest> call = Optional.empty();
  private Optional<CallOutcome> outcome = Optional.empty();
  private boolean running;
  private int runs;

  private CallSlot(String name, AccountId account, long expiresAtMillis) {
    this.name = name;
    this.account = account;
    this.expiresAtMillis = expiresAtMillis;
  }

  static CallSlot of(String name, AccountId account, long expiresAtMillis) {
    return new CallSlot(name, account, expiresAtMillis);
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
    return call.isEmpty();
  }

  boolean isExpired(long nowMillis) {
    return nowMillis >= expiresAtMillis;
  }

  /** Tells whether the slot was used for another call before. */
  boolean isOtherCall(CallDigest digest) {
    return call.filter(known -> !known.equals(digest)).isPresent();
  }

  /** Counts the runs that may have had effects, this one included. */
  int begin(CallDigest digest) {
    call = Optional.of(digest);
    running = true;
    runs++;
    return runs;
  }

  void finish(CallOutcome result) {
    running = false;
    outcome = Optional.of(result);
  }

  /** Frees the slot after a run that certainly did nothing. */
  void free() {
    running = false;
    runs--;
  }

  @Override
  public String toString() {
    return name;
  }
}
