package org.knapweedcleat.bench;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.limit.DomainDrawSelector;
import org.knapweedcleat.core.limit.DrawId;
import org.knapweedcleat.core.limit.LimitAction;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.limit.LimitSettings;
import org.knapweedcleat.core.limit.DistributedRateLimiter;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.core.message.PeerMessage;

/** One run of an instance with the shipped membership and limiter, in a {@link LimitFleet}. */
final class LimitNode {

  private static final LimitSettings LIMITS = new LimitSettings(2_000, 500, 250, 1_000, 10);
  private static final MembershipSettings MEMBERSHIP =
      new MembershipSettings(250, 1_000, 2_500, 10_000, 1_200);
  private static final int MAX_DOMAINS = 3;
  private static final long UNREACHABLE_MILLIS = 1_000;

  private final LimitFleet fleet;
  private final Member member;
  private final MembershipTracker membership;
  private final DistributedRateLimiter limiter;
  private final DomainDrawSelector draws = DomainDrawSelector.create();
  private final Map<DrawId, Consumer<LimitAction>> waiting = new HashMap<>();
  private final List<Runnable> buffered = new ArrayList<>();
  private boolean paused;
  private boolean over;
  private long lastDraw;

  private LimitNode(LimitFleet fleet, Member member) {
    this.fleet = fleet;
    this.member = member;
    this.membership = MembershipTracker.of(member, MEMBERSHIP);
    InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    this.limiter = DistributedRateLimiter.of(member.incarnation(), member.domain(), LIMITS, monitor);
  }

  static LimitNode start(LimitFleet fleet, Member member) {
    LimitNode node = new LimitNode(fleet, member);
    Revision revision = Revision.of(1);
    Set<FailureDomainId> all = Set.copyOf(fleet.domains());
    node.apply(node.limiter.configure(fleet.nowMillis(), revision, fleet.accounts(), all));
    node.act(node.membership.onDocumentApplied(fleet.nowMillis(), revision, ""));
    node.draws.configure(fleet.others(member.domain()));
    return node;
  }

  Member member() {
    return member;
  }

  boolean isPaused() {
    return paused;
  }

  boolean isOver() {
    return over;
  }

  /** Runs an event now, or after the pause, as a socket's buffer would keep it. */
  void handle(Runnable event) {
    if (paused) {
      buffered.add(event);
    } else if (!over) {
      event.run();
    }
  }

  void pause() {
    paused = true;
  }

  void wake() {
    paused = false;
    List<Runnable> events = List.copyOf(buffered);
    buffered.clear();
    events.forEach(this::handle);
  }

  void end() {
    over = true;
  }

  void tickLimiter() {
    apply(limiter.tick(fleet.nowMillis()));
  }

  void tickMembership() {
    act(membership.tick(fleet.nowMillis()));
  }

  void listed(List<ListedInstance> instances) {
    act(membership.onInstanceList(fleet.nowMillis(), instances));
  }

  void receive(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      act(membership.onHeartbeat(fleet.nowMillis(), heartbeat));
    } else if (message instanceof LimitMessage limit) {
      apply(limiter.receive(fleet.nowMillis(), from, limit));
    }
  }

  /** Takes tokens in the own failure domain; the answer is a grant or a denial. */
  void acquire(AccountId account, long tokens, Consumer<LimitAction> answer) {
    DrawId draw = DrawId.of(++lastDraw);
    waiting.put(draw, answer);
    apply(limiter.acquire(fleet.nowMillis(), draw, account, tokens));
  }

  /** Takes tokens in the own failure domain, then in others. */
  void acquireAnywhere(AccountId account, long tokens, Consumer<LimitAction> answer) {
    acquire(account, tokens, own -> elsewhere(account, tokens, own, new HashSet<>(), answer));
  }

  private void elsewhere(
      AccountId account,
      long tokens,
      LimitAction outcome,
      Set<FailureDomainId> asked,
      Consumer<LimitAction> answer) {
    boolean isFinal =
        !(outcome instanceof LimitAction.Denied denied) || !denied.reason().isRetryable();
    Optional<FailureDomainId> next = draws.next(fleet.nowMillis(), account, asked);
    if (isFinal || next.isEmpty() || asked.size() >= MAX_DOMAINS) {
      answer.accept(outcome);
      return;
    }
    FailureDomainId domain = next.get();
    asked.add(domain);
    ask(
        domain,
        account,
        tokens,
        other -> {
          if (other instanceof LimitAction.Denied denied) {
            draws.recordDenial(fleet.nowMillis(), domain, account, denied.retryAfterMillis());
            elsewhere(account, tokens, outcome, asked, answer);
          } else {
            answer.accept(other);
          }
        });
  }

  private void ask(
      FailureDomainId domain, AccountId account, long tokens, Consumer<LimitAction> answer) {
    List<Member> live =
        membership.view().live().stream().filter(one -> one.domain().equals(domain)).toList();
    if (live.isEmpty()) {
      answer.accept(unreachable(account, 0));
    } else {
      LimitAction lost = unreachable(account, UNREACHABLE_MILLIS);
      fleet.askElsewhere(this, fleet.any(live), account, tokens, lost, answer);
    }
  }

  private static LimitAction unreachable(AccountId account, long retryAfterMillis) {
    DenialReason reason = DenialReason.HOME_UNREACHABLE;
    return new LimitAction.Denied(DrawId.of(0), account, reason, retryAfterMillis);
  }

  private void act(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        fleet.send(this, send.to(), send.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        apply(limiter.updateMembers(fleet.nowMillis(), changed.view()));
      }
    }
  }

  private void apply(List<LimitAction> actions) {
    for (LimitAction action : actions) {
      if (action instanceof LimitAction.Send send) {
        fleet.send(this, send.to(), send.message());
      } else if (action instanceof LimitAction.Granted granted) {
        fleet.charged(granted.account(), granted.tokens());
        waiting.remove(granted.draw()).accept(granted);
      } else if (action instanceof LimitAction.Denied denied) {
        waiting.remove(denied.draw()).accept(denied);
      }
    }
  }
}
