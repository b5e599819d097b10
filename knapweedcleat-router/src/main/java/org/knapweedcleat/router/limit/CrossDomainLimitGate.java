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
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Takes rate-limit tokens from the local failure domain, or from others if it denies them. */
public final class CrossDomainLimitGate implements AccountRateLimiter {

  private static final int MAX_DOMAINS_PER_REQUEST = 3;
  private static final long UNREACHABLE_RETRY_MILLIS = 1000;

  private final AccountRateLimiter localGate;
  private final BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> askDomain;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final DomainDrawSelector domainSelector = DomainDrawSelector.create();

  private CrossDomainLimitGate(
      AccountRateLimiter localGate,
      BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> askDomain,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.localGate = Objects.requireNonNull(localGate, "own");
    this.askDomain = Objects.requireNonNull(askDomain, "ask");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  /**
   * Returns a gate without other failure domains.
   *
   * @param localGate takes tokens from the local failure domain
   * @param askDomain sends a draw to an instance of another failure domain; fails if none is
   *     reachable
   * @param nowMillis the monotonic clock
   * @param metrics counts draws from other failure domains
   * @return the gate
   */
  public static CrossDomainLimitGate of(
      AccountRateLimiter localGate,
      BiFunction<FailureDomainId, DomainDrawRequest, Uni<PeerMessage>> askDomain,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new CrossDomainLimitGate(localGate, askDomain, nowMillis, metrics);
  }

  /**
   * Sets the other failure domains.
   *
   * @param otherDomains the other failure domains, nearest first
   */
  public void configure(List<FailureDomainId> otherDomains) {
    domainSelector.configure(otherDomains);
  }

  @Override
  public Uni<RateLimitDecision> acquire(AccountId account, long tokens) {
    return localGate
        .acquire(account, tokens)
        .chain(
            outcome ->
                drawFromOtherDomains(
                    new DomainDrawRequest(account, tokens), outcome, new HashSet<>()));
  }

  @Override
  public void refund(AccountId account, long tokens) {
    localGate.refund(account, tokens);
  }

  private Uni<RateLimitDecision> drawFromOtherDomains(
      DomainDrawRequest draw, RateLimitDecision outcome, Set<FailureDomainId> askedDomains) {
    if (!(outcome instanceof RateLimitDecision.Denied denied) || !denied.reason().isRetryable()) {
      return Uni.createFrom().item(outcome);
    }
    Optional<FailureDomainId> nextDomain =
        domainSelector.next(nowMillis.getAsLong(), draw.account(), askedDomains);
    if (nextDomain.isEmpty() || askedDomains.size() >= MAX_DOMAINS_PER_REQUEST) {
      return Uni.createFrom().item(outcome);
    }
    FailureDomainId domain = nextDomain.get();
    askedDomains.add(domain);
    metrics.counter("limit.domain.draws").inc();
    return askDomain
        .apply(domain, draw)
        .map(CrossDomainLimitGate::toOutcome)
        .onFailure()
        .recoverWithItem(CrossDomainLimitGate::unreachableOutcome)
        .chain(
            newOutcome ->
                drawFromOtherDomains(
                    draw, mergeOutcomes(domain, draw, denied, newOutcome), askedDomains));
  }

  private RateLimitDecision mergeOutcomes(
      FailureDomainId domain,
      DomainDrawRequest draw,
      RateLimitDecision.Denied previousDenial,
      RateLimitDecision newOutcome) {
    if (!(newOutcome instanceof RateLimitDecision.Denied denied)) {
      metrics.counter("limit.domain.granted").inc();
      return newOutcome;
    }
    long retryMillis = denied.retryAfterMillis();
    domainSelector.recordDenial(nowMillis.getAsLong(), domain, draw.account(), retryMillis);
    boolean isRateDenial = denied.reason() == DenialReason.OVER_RATE;
    boolean retryIsSooner = isRateDenial && retryMillis < previousDenial.retryAfterMillis();
    return denied(
        previousDenial.reason(), retryIsSooner ? retryMillis : previousDenial.retryAfterMillis());
  }

  /** Allows an immediate retry if the request was never sent, since the attempt cost nothing. */
  private static RateLimitDecision unreachableOutcome(Throwable cause) {
    boolean requestMayHaveArrived =
        !(cause instanceof InstanceUnreachableException unreachable)
            || unreachable.requestMayHaveArrived();
    return denied(
        DenialReason.HOME_UNREACHABLE, requestMayHaveArrived ? UNREACHABLE_RETRY_MILLIS : 0);
  }

  private static RateLimitDecision toOutcome(PeerMessage response) {
    return response instanceof DomainDrawResponse drawResponse
        ? drawResponse.toOutcome()
        : denied(DenialReason.HOME_UNREACHABLE, UNREACHABLE_RETRY_MILLIS);
  }

  private static RateLimitDecision denied(DenialReason reason, long retryAfterMillis) {
    return new RateLimitDecision.Denied(reason, retryAfterMillis);
  }
}
