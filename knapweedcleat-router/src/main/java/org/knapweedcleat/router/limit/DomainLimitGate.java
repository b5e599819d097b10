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
import org.knapweedcleat.router.gate.LimitGate;
import org.knapweedcleat.router.gate.LimitOutcome;

/** Takes tokens in the own failure domain, and in others when the own one has none. */
public final class DomainLimitGate implements LimitGate {

  private static final int MAX_DOMAINS = 3;
  private static final long UNREACHABLE_MILLIS = 1000;

  private final LimitGate own;
  private final BiFunction<FailureDomainId, DomainDraw, Uni<PeerMessage>> ask;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final DomainDrawSelector draws = DomainDrawSelector.create();

  private DomainLimitGate(
      LimitGate own,
      BiFunction<FailureDomainId, DomainDraw, Uni<PeerMessage>> ask,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.own = Objects.requireNonNull(own, "own");
    this.ask = Objects.requireNonNull(ask, "ask");
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
  public static DomainLimitGate of(
      LimitGate own,
      BiFunction<FailureDomainId, DomainDraw, Uni<PeerMessage>> ask,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new DomainLimitGate(own, ask, nowMillis, metrics);
  }

  /**
   * Takes over the other failure domains.
   *
   * @param others the other failure domains, nearest first
   */
  public void configure(List<FailureDomainId> others) {
    draws.configure(others);
  }

  @Override
  public Uni<LimitOutcome> acquire(AccountId account, long tokens) {
    return own.acquire(account, tokens)
        .chain(outcome -> elsewhere(new DomainDraw(account, tokens), outcome, new HashSet<>()));
  }

  @Override
  public void refund(AccountId account, long tokens) {
    own.refund(account, tokens);
  }

  private Uni<LimitOutcome> elsewhere(
      DomainDraw draw, LimitOutcome outcome, Set<FailureDomainId> asked) {
    if (!(outcome instanceof LimitOutcome.Denied denied) || !denied.reason().isRetryable()) {
      return Uni.createFrom().item(outcome);
    }
    Optional<FailureDomainId> next = draws.next(nowMillis.getAsLong(), draw.account(), asked);
    if (next.isEmpty() || asked.size() >= MAX_DOMAINS) {
      return Uni.createFrom().item(outcome);
    }
    FailureDomainId domain = next.get();
    asked.add(domain);
    metrics.counter("limit.domain.draws").inc();
    return ask.apply(domain, draw)
        .map(DomainLimitGate::outcomeOf)
        .onFailure()
        .recoverWithItem(DomainLimitGate::unreachable)
        .chain(answer -> elsewhere(draw, better(domain, draw, denied, answer), asked));
  }

  private LimitOutcome better(
      FailureDomainId domain, DomainDraw draw, LimitOutcome.Denied before, LimitOutcome answer) {
    if (!(answer instanceof LimitOutcome.Denied denied)) {
      metrics.counter("limit.domain.granted").inc();
      return answer;
    }
    long retryMillis = denied.retryAfterMillis();
    draws.recordDenial(nowMillis.getAsLong(), domain, draw.account(), retryMillis);
    boolean known = denied.reason() == DenialReason.OVER_RATE;
    boolean sooner = known && retryMillis < before.retryAfterMillis();
    return denied(before.reason(), sooner ? retryMillis : before.retryAfterMillis());
  }

  /** A question that never left cost nothing, so that the next request may try again. */
  private static LimitOutcome unreachable(Throwable cause) {
    boolean left =
        !(cause instanceof InstanceUnreachableException lost) || lost.questionMayHaveArrived();
    return denied(DenialReason.HOME_UNREACHABLE, left ? UNREACHABLE_MILLIS : 0);
  }

  private static LimitOutcome outcomeOf(PeerMessage answer) {
    return answer instanceof DomainDrawAnswer known
        ? known.outcome()
        : denied(DenialReason.HOME_UNREACHABLE, UNREACHABLE_MILLIS);
  }

  private static LimitOutcome denied(DenialReason reason, long retryAfterMillis) {
    return new LimitOutcome.Denied(reason, retryAfterMillis);
  }
}
