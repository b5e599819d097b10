package org.knapweedcleat.router.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.gate.RateLimitDecision;

class CrossDomainLimitGateTest {

  private static final AccountId ACCOUNT = AccountId.of("large");
  private static final FailureDomainId NEAR = FailureDomainId.of("near");
  private static final FailureDomainId FAR = FailureDomainId.of("far");

  private static final IncarnationId SELF = IncarnationId.of(InstanceId.of("a"), 1);

  private final List<FailureDomainId> askedDomains = new ArrayList<>();
  private Map<FailureDomainId, RateLimitDecision> outcomesByDomain = Map.of();
  private RateLimitDecision localOutcome = denied(DenialReason.OVER_RATE, 900);

  @Test
  void drawsFromOtherDomainsOnlyAfterLocalDenial() {
    outcomesByDomain =
        Map.of(NEAR, denied(DenialReason.OVER_RATE, 400), FAR, new RateLimitDecision.Granted(5));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(new RateLimitDecision.Granted(5)));
    assertThat(askedDomains, contains(NEAR, FAR));
    localOutcome = new RateLimitDecision.Granted(5);
    acquire(gate);
    assertThat(askedDomains, contains(NEAR, FAR));
  }

  @Test
  void reportsEarliestRetryAndAsksNoDomainBeforeIt() {
    outcomesByDomain =
        Map.of(NEAR, denied(DenialReason.OVER_RATE, 400), FAR, denied(DenialReason.OVER_RATE, 700));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 400)));
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 900)));
    assertThat(askedDomains, contains(NEAR, FAR));
  }

  @Test
  void asksNextDomainWhenOneIsUnreachable() {
    outcomesByDomain = Map.of(FAR, new RateLimitDecision.Granted(5));
    assertThat(acquire(gate()), is(new RateLimitDecision.Granted(5)));
  }

  @Test
  void retriesImmediatelyIfRequestWasNeverSent() {
    outcomesByDomain = Map.of(FAR, denied(DenialReason.OVER_RATE, 700));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 700)));
    acquire(gate);
    assertThat(askedDomains, contains(NEAR, FAR, NEAR));
  }

  @Test
  void asksNoDomainAfterNonRetryableDenial() {
    localOutcome = denied(DenialReason.OVER_BURST, 0);
    assertThat(acquire(gate()), is(localOutcome));
    assertThat(askedDomains, empty());
  }

  private RateLimitDecision acquire(CrossDomainLimitGate gate) {
    return gate.acquire(ACCOUNT, 5).await().indefinitely();
  }

  private CrossDomainLimitGate gate() {
    CrossDomainLimitGate gate =
        CrossDomainLimitGate.of(new LocalGate(), this::ask, () -> 0, new MetricRegistry());
    gate.configure(List.of(NEAR, FAR));
    return gate;
  }

  private Uni<PeerMessage> ask(FailureDomainId domain, DomainDrawRequest draw) {
    askedDomains.add(domain);
    RateLimitDecision outcome = outcomesByDomain.get(domain);
    return outcome == null
        ? Uni.createFrom().failure(new InstanceUnreachableException(SELF, false))
        : Uni.createFrom().item(DomainDrawResponse.of(outcome));
  }

  private static RateLimitDecision denied(DenialReason reason, long retryAfterMillis) {
    return new RateLimitDecision.Denied(reason, retryAfterMillis);
  }

  private final class LocalGate implements AccountRateLimiter {
    @Override
    public Uni<RateLimitDecision> acquire(AccountId account, long tokens) {
      return Uni.createFrom().item(localOutcome);
    }

    @Override
    public void refund(AccountId account, long tokens) {}
  }
}
