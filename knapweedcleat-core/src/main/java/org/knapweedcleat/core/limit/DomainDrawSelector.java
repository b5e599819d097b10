package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;

/**
 * Selects another failure domain from which to draw tokens that the local one does not have.
 *
 * <p>Each failure domain grants only from its own share of an account, so draws across failure
 * domains never exceed the whole; a lost answer only wastes tokens. After a denial, a failure
 * domain is not asked again for the account before the retry time that it gave, so that an account
 * above its rate does not cause messages to all failure domains with each denial. All times are
 * milliseconds of one monotonic clock.
 */
public final class DomainDrawSelector {

  private static final int MAX_DENIALS = 100_000;

  private final Map<Denial, Long> retryAtMillis = new HashMap<>();
  private List<FailureDomainId> domains = List.of();

  private DomainDrawSelector() {}

  /**
   * Returns a selector without failure domains.
   *
   * @return the selector
   */
  public static DomainDrawSelector create() {
    return new DomainDrawSelector();
  }

  /**
   * Replaces the other failure domains and clears all denials, because limits may have changed.
   *
   * @param otherDomains the other failure domains, nearest first
   */
  public void configure(List<FailureDomainId> otherDomains) {
    domains = List.copyOf(otherDomains);
    retryAtMillis.clear();
  }

  /**
   * Selects the failure domain to ask next.
   *
   * @param nowMillis the time
   * @param account the client account
   * @param asked the failure domains already asked for the same tokens
   * @return the nearest failure domain that may grant the tokens, if any
   */
  public Optional<FailureDomainId> next(
      long nowMillis, AccountId account, Set<FailureDomainId> asked) {
    Objects.requireNonNull(account, "account");
    return domains.stream()
        .filter(domain -> !asked.contains(domain))
        .filter(domain -> mayAsk(nowMillis, new Denial(domain, account)))
        .findFirst();
  }

  /**
   * Records a denial.
   *
   * @param nowMillis the time
   * @param domain the failure domain that denied
   * @param account the client account
   * @param retryAfterMillis the delay after which a retry may succeed
   */
  public void recordDenial(
      long nowMillis, FailureDomainId domain, AccountId account, long retryAfterMillis) {
    if (retryAtMillis.size() >= MAX_DENIALS) {
      retryAtMillis.values().removeIf(millis -> millis <= nowMillis);
    }
    retryAtMillis.put(new Denial(domain, account), nowMillis + retryAfterMillis);
  }

  private boolean mayAsk(long nowMillis, Denial denial) {
    return nowMillis >= retryAtMillis.getOrDefault(denial, Long.MIN_VALUE);
  }

  private record Denial(FailureDomainId domain, AccountId account) {}
}
