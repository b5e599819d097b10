package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;

/**
 * The client accounts of the current fleet document.
 *
 * <p>A failure domain's share of an account may increase only after all other failure domains have
 * applied the new document. Until then, the smallest share since the last confirmed document
 * applies. A new or reset table does not know that share and uses 0.
 */
final class AccountTable {

  private final FailureDomainId domain;
  private final LimitSettings settings;
  private Map<AccountId, DomainAccount> accounts = Map.of();
  private List<List<DomainAccount>> slots = emptySlots();
  private Revision revision = Revision.NONE;
  private boolean confirmed;
  private boolean awaitingFirstConfirmation = true;

  private AccountTable(FailureDomainId domain, LimitSettings settings) {
    this.domain = domain;
    this.settings = settings;
  }

  static AccountTable of(FailureDomainId domain, LimitSettings settings) {
    return new AccountTable(domain, settings);
  }

  /** Applies a document; the caller must have refilled all buckets up to now. */
  void configure(
      long nowMillis,
      Revision nextRevision,
      Collection<AccountSpec> specs,
      Set<FailureDomainId> allDomains) {
    boolean wasConfirmed = confirmed;
    Map<AccountId, DomainAccount> updated = new HashMap<>();
    List<List<DomainAccount>> updatedSlots = emptySlots();
    for (AccountSpec spec : specs) {
      boolean added = !accounts.containsKey(spec.id());
      DomainAccount account =
          added ? DomainAccount.of(spec.id(), nowMillis) : accounts.get(spec.id());
      account.configure(spec, DomainAccount.domainShareOf(spec, domain, allDomains), settings);
      if (added && wasConfirmed) {
        account.confirm();
      }
      updated.put(spec.id(), account);
      updatedSlots.get(account.slot()).add(account);
    }
    accounts = updated;
    slots = updatedSlots;
    revision = nextRevision;
    confirmed = false;
  }

  void confirm() {
    accounts.values().forEach(DomainAccount::confirm);
    confirmed = true;
    awaitingFirstConfirmation = false;
  }

  /** Resets all domain shares to 0; the caller must have refilled all buckets up to now. */
  void reset() {
    accounts.values().forEach(DomainAccount::resetDomainShare);
    confirmed = false;
    awaitingFirstConfirmation = true;
  }

  DomainAccount find(AccountId account) {
    return accounts.get(account);
  }

  Collection<DomainAccount> all() {
    return accounts.values();
  }

  List<DomainAccount> inSlot(int slot) {
    return slots.get(slot);
  }

  Revision revision() {
    return revision;
  }

  Revision confirmedRevision() {
    return confirmed ? revision : Revision.NONE;
  }

  boolean isConfirmed() {
    return confirmed;
  }

  boolean isAwaitingFirstConfirmation() {
    return awaitingFirstConfirmation;
  }

  private static List<List<DomainAccount>> emptySlots() {
    List<List<DomainAccount>> slots = new ArrayList<>();
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      slots.add(new ArrayList<>());
    }
    return slots;
  }
}
