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
import org.knapweedcleat.core.limit.DistributedRateLimiter;
import org.knapweedcleat.core.limit.DomainDrawSelector;
import org.knapweedcleat.core.limit.DrawId;
import org.knapweedcleat.core.limit.LimitAction;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.limit.LimitSettings;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.message.PeerMessage;

/** One incarnation of an instance with the core's membership and rate limiter. */
final class RateLimitInstance {

  private static final LimitSettings LIMIT_SETTINGS = new LimitSettings(2_000, 500, 250, 1_000, 10);
  private static final MembershipSettings MEMBERSHIP_SETTINGS =
      new MembershipSettings(250, 1_000, 2_500, 10_000, 1_200);
  private static final int MAX_DOMAINS_ASKED = 3;
  private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

  private final RateLimitFleet fleet;
  private final Member member;
  private final MembershipTracker membership;
  private final DistributedRateLimiter limiter;
  private final DomainDrawSelector domainDrawSelector = DomainDrawSelector.create();
  private final Map<DrawId, Consumer<LimitAction>> pendingDraws = new HashMap<>();
  private final List<Runnable> bufferedEvents = new ArrayList<>();
  private boolean paused;
  private boolean ended;
  private long lastDrawNumber;

  private RateLimitInstance(RateLimitFleet fleet, Member member) {
    this.fleet = fleet;
    this.member = member;
    this.membership = MembershipTracker.of(member, MEMBERSHIP_SETTINGS);
    InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    this.limiter =
        DistributedRateLimiter.of(member.incarnation(), member.domain(), LIMIT_SETTINGS, monitor);
  }

  static RateLimitInstance start(RateLimitFleet fleet, Member member) {
    RateLimitInstance instance = new RateLimitInstance(fleet, member);
    Revision revision = Revision.of(1);
    Set<FailureDomainId> all = Set.copyOf(fleet.domains());
    instance.applyLimits(
        instance.limiter.configure(fleet.nowMillis(), revision, fleet.accounts(), all));
    instance.applyMembership(
        instance.membership.onDocumentApplied(fleet.nowMillis(), revision, ""));
    instance.domainDrawSelector.configure(fleet.otherDomains(member.domain()));
    return instance;
  }

  Member member() {
    return member;
  }

  boolean isPaused() {
    return paused;
  }

  boolean isEnded() {
    return ended;
  }

  /** Runs an event now, or after a pause, like data kept in a socket buffer. */
  void handle(Runnable event) {
    if (paused) {
      bufferedEvents.add(event);
    } else if (!ended) {
      event.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> events = List.copyOf(bufferedEvents);
    bufferedEvents.clear();
    events.forEach(this::handle);
  }

  void end() {
    ended = true;
  }

  void tickLimiter() {
    applyLimits(limiter.tick(fleet.nowMillis()));
  }

  void tickMembership() {
    applyMembership(membership.tick(fleet.nowMillis()));
  }

  void updateInstances(List<ListedInstance> instances) {
    applyMembership(membership.onInstanceList(fleet.nowMillis(), instances));
  }

  void receive(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      applyMembership(membership.onHeartbeat(fleet.nowMillis(), heartbeat));
    } else if (message instanceof LimitMessage limit) {
      applyLimits(limiter.receive(fleet.nowMillis(), from, limit));
    }
  }

  /** Acquires tokens in the local failure domain; the outcome is a grant or a denial. */
  void acquire(AccountId account, long tokens, Consumer<LimitAction> callback) {
    DrawId draw = DrawId.of(++lastDrawNumber);
    pendingDraws.put(draw, callback);
    applyLimits(limiter.acquire(fleet.nowMillis(), draw, account, tokens));
  }

  /** Acquires tokens in the local failure domain or, after a retryable denial, in other domains. */
  void acquireAnywhere(AccountId account, long tokens, Consumer<LimitAction> callback) {
    acquire(
        account,
        tokens,
        outcome -> acquireElsewhere(account, tokens, outcome, new HashSet<>(), callback));
  }

  private void acquireElsewhere(
      AccountId account,
      long tokens,
      LimitAction outcome,
      Set<FailureDomainId> askedDomains,
      Consumer<LimitAction> callback) {
    boolean isFinal =
        !(outcome instanceof LimitAction.Denied denied) || !denied.reason().isRetryable();
    Optional<FailureDomainId> next =
        domainDrawSelector.next(fleet.nowMillis(), account, askedDomains);
    if (isFinal || next.isEmpty() || askedDomains.size() >= MAX_DOMAINS_ASKED) {
      callback.accept(outcome);
      return;
    }
    FailureDomainId domain = next.get();
    askedDomains.add(domain);
    askDomain(
        domain,
        account,
        tokens,
        other -> {
          if (other instanceof LimitAction.Denied denied) {
            domainDrawSelector.recordDenial(
                fleet.nowMillis(), domain, account, denied.retryAfterMillis());
            acquireElsewhere(account, tokens, outcome, askedDomains, callback);
          } else {
            callback.accept(other);
          }
        });
  }

  private void askDomain(
      FailureDomainId domain, AccountId account, long tokens, Consumer<LimitAction> callback) {
    List<Member> liveMembers =
        membership.view().live().stream().filter(member -> member.domain().equals(domain)).toList();
    if (liveMembers.isEmpty()) {
      callback.accept(unreachable(account, 0));
    } else {
      LimitAction timeoutOutcome = unreachable(account, UNREACHABLE_RETRY_MILLIS);
      fleet.acquireRemotely(
          this, fleet.randomMember(liveMembers), account, tokens, timeoutOutcome, callback);
    }
  }

  private static LimitAction unreachable(AccountId account, long retryAfterMillis) {
    DenialReason reason = DenialReason.HOME_UNREACHABLE;
    return new LimitAction.Denied(DrawId.of(0), account, reason, retryAfterMillis);
  }

  private void applyMembership(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        fleet.send(this, send.to(), send.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        applyLimits(limiter.updateMembers(fleet.nowMillis(), changed.view()));
      }
    }
  }

  private void applyLimits(List<LimitAction> actions) {
    for (LimitAction action : actions) {
      if (action instanceof LimitAction.Send send) {
        fleet.send(this, send.to(), send.message());
      } else if (action instanceof LimitAction.Granted granted) {
        fleet.recordCharge(granted.account(), granted.tokens());
        pendingDraws.remove(granted.draw()).accept(granted);
      } else if (action instanceof LimitAction.Denied denied) {
        pendingDraws.remove(denied.draw()).accept(denied);
      }
    }
  }
}
