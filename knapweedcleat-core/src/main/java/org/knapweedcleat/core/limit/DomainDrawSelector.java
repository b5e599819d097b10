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
 * Chooses in which other failure domain to draw the tokens that the own one does not have.
 *
 * <p>Each failure domain grants only from its own part of an account, so drawing elsewhere never
 * adds up to more than the whole; a lost answer costs tokens. A failure domain that denied is not
 * asked again for an account before the time that it gave, so that an account above its rate does
 * not turn each refusal into messages to all failure domains. All times are milliseconds of one
 * monotonic clock.
 */
public final class DomainDrawSelector {

  private static final int MAX_DENIALS = 100_000;

  private final Map<Denial, Long> retryAtMillis = new HashMap<>();
  private List<FailureDomainId> domains = List.of();

  private DomainDrawSelector() {}

  /**
   * Returns a chooser without failure domains.
   *
   * @return the chooser
   */
  public static DomainDrawSelector create() {
    return new DomainDrawSelector();
  }

  /**
   * Takes over the other failure domains; what was denied before is forgotten, since the limits may
   * have changed.
   *
   * @param otherDomains the other failure domains, nearest first
   */
  public void configure(List<FailureDomainId> otherDomains) {
    domains = List.copyOf(otherDomains);
    retryAtMillis.clear();
  }

  /**
   * Chooses whom to ask next.
   *
   * @param nowMillis the time
   * @param account the client account
   * @param asked the failure domains that have been asked for the same tokens
   * @return the nearest failure domain that may have some, if any
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
   * Takes note of a denial.
   *
   * @param nowMillis the time
   * @param domain who denied
   * @param account the client account
   * @param retryAfterMillis when asking again may succeed
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
