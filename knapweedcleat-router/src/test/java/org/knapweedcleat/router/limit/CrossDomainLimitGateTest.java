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
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.RateLimitDecision;

class CrossDomainLimitGateTest {

  private static final AccountId ACCOUNT = AccountId.of("large");
  private static final FailureDomainId NEAR = FailureDomainId.of("near");
  private static final FailureDomainId FAR = FailureDomainId.of("far");

  private static final IncarnationId SELF = IncarnationId.of(InstanceId.of("a"), 1);

  private final List<FailureDomainId> asked = new ArrayList<>();
  private Map<FailureDomainId, RateLimitDecision> others = Map.of();
  private RateLimitDecision own = denied(DenialReason.OVER_RATE, 900);

  @Test
  void drawsElsewhereOnlyWhatTheOwnFailureDomainDenies() {
    others = Map.of(NEAR, denied(DenialReason.OVER_RATE, 400), FAR, new RateLimitDecision.Granted(5));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(new RateLimitDecision.Granted(5)));
    assertThat(asked, contains(NEAR, FAR));
    own = new RateLimitDecision.Granted(5);
    acquire(gate);
    assertThat(asked, contains(NEAR, FAR));
  }

  @Test
  void tellsTheSoonestTimeAndDoesNotAskBeforeIt() {
    others =
        Map.of(NEAR, denied(DenialReason.OVER_RATE, 400), FAR, denied(DenialReason.OVER_RATE, 700));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 400)));
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 900)));
    assertThat(asked, contains(NEAR, FAR));
  }

  @Test
  void goesOnWhenAnotherFailureDomainIsCutOff() {
    others = Map.of(FAR, new RateLimitDecision.Granted(5));
    assertThat(acquire(gate()), is(new RateLimitDecision.Granted(5)));
  }

  @Test
  void asksAgainAtOnceWhereNoQuestionLeft() {
    others = Map.of(FAR, denied(DenialReason.OVER_RATE, 700));
    CrossDomainLimitGate gate = gate();
    assertThat(acquire(gate), is(denied(DenialReason.OVER_RATE, 700)));
    acquire(gate);
    assertThat(asked, contains(NEAR, FAR, NEAR));
  }

  @Test
  void asksNobodyForWhatNoWaitingWouldBring() {
    own = denied(DenialReason.OVER_BURST, 0);
    assertThat(acquire(gate()), is(own));
    assertThat(asked, empty());
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
    asked.add(domain);
    RateLimitDecision outcome = others.get(domain);
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
      return Uni.createFrom().item(own);
    }

    @Override
    public void refund(AccountId account, long tokens) {}
  }
}
