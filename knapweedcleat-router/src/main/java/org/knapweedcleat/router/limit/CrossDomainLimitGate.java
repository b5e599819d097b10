package org.knapweedcleat.router.limit;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.limit.DomainDrawSelector;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Takes tokens in the own failure domain, and in others when the own one has none. */
public final class CrossDomainLimitGate implements AccountRateLimiter {

  private static final int MAX_DOMAINS_PER_REQUEST = 3;
  private static final long UNREACHABLE_RETRY_MILLIS = 1000;

  private final AccountRateLimiter localGate;
  private final BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> askDomain;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final DomainDrawSelector domainSelector = DomainDrawSelector.create();

  private CrossDomainLimitGate(
      AccountRateLimiter own,
      BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> ask,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.localGate = Objects.requireNonNull(own, "own");
    this.askDomain = Objects.requireNonNull(ask, "ask");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  /**
   * Returns a gate that knows no other failure domains yet.
   *
   * @param own takes tokens in the own failure domain
   * @param ask asks an instance of another failure domain; fails when none can be reached
   * @param nowMillis the monotonic clock
   * @param metrics counts draws in other failure domains
   * @return the gate
   */
  public static CrossDomainLimitGate of(
      AccountRateLimiter own,
      BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> ask,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new CrossDomainLimitGate(own, ask, nowMillis, metrics);
  }

  /**
   * Takes over the other failure domains.
   *
   * @param others the other failure domains, nearest first
   */
  public void configure(List<FailureDomainId> others) {
    domainSelector.configure(others);
  }

  @Override
  public Uni<RateLimitDecision> acquire(AccountId account, long tokens) {
    return localGate.acquire(account, tokens)
        .chain(outcome -> drawFromOtherDomains(new DomainDrawRequest(account, tokens), outcome, new HashSet<>()));
  }

  @Override
  public void refund(AccountId account, long tokens) {
    localGate.refund(account, tokens);
  }

  private Uni<RateLimitDecision> drawFromOtherDomains(
      DomainDrawRequest draw, RateLimitDecision outcome, Set<FailureDomainId> asked) {
    if (!(outcome instanceof RateLimitDecision.Denied denied) || !denied.reason().isRetryable()) {
      return Uni.createFrom().item(outcome);
    }
    Optional<FailureDomainId> next = domainSelector.next(nowMillis.getAsLong(), draw.account(), asked);
    if (next.isEmpty() || asked.size() >= MAX_DOMAINS_PER_REQUEST) {
      return Uni.createFrom().item(outcome);
    }
    FailureDomainId domain = next.get();
    asked.add(domain);
    metrics.counter("limit.domain.draws").inc();
    return askDomain.apply(domain, draw)
        .map(CrossDomainLimitGate::toOutcome)
        .onFailure()
        .recoverWithItem(CrossDomainLimitGate::unreachableOutcome)
        .chain(answer -> drawFromOtherDomains(draw, mergeOutcomes(domain, draw, denied, answer), asked));
  }

  private RateLimitDecision mergeOutcomes(
      FailureDomainId domain, DomainDrawRequest draw, RateLimitDecision.Denied before, RateLimitDecision answer) {
    if (!(answer instanceof RateLimitDecision.Denied denied)) {
      metrics.counter("limit.domain.granted").inc();
      return answer;
    }
    long retryMillis = denied.retryAfterMillis();
    domainSelector.recordDenial(nowMillis.getAsLong(), domain, draw.account(), retryMillis);
    boolean known = denied.reason() == DenialReason.OVER_RATE;
    boolean sooner = known && retryMillis < before.retryAfterMillis();
    return denied(before.reason(), sooner ? retryMillis : before.retryAfterMillis());
  }

  /** A question that never left cost nothing, so that the next request may try again. */
  private static RateLimitDecision unreachableOutcome(Throwable cause) {
    boolean left =
        !(cause instanceof InstanceUnreachableException lost) || lost.requestMayHaveArrived();
    return denied(DenialReason.HOME_UNREACHABLE, left ? UNREACHABLE_RETRY_MILLIS : 0);
  }

  private static RateLimitDecision toOutcome(PeerMessage answer) {
    return answer instanceof DomainDrawResponse known
        ? known.toOutcome()
        : denied(DenialReason.HOME_UNREACHABLE, UNREACHABLE_RETRY_MILLIS);
  }

  private static RateLimitDecision denied(DenialReason reason, long retryAfterMillis) {
    return new RateLimitDecision.Denied(reason, retryAfterMillis);
  }
}
