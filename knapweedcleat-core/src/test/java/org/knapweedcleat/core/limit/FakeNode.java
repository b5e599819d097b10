package org.knapweedcleat.core.limit;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.core.message.PeerMessage;

/** One run of an instance with its own skewed clock, in a {@link SimulatedFleet}. */
final class FakeNode {

  private final FakeFleet fleet;
  private final Member member;
  private final double clockRate;
  private final long clockOffsetMillis;
  private final MembershipTracker membership;
  private final ShareLimiter limiter;
  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final List<Runnable> buffered = new ArrayList<>();
  private final Map<DrawId, Boolean> asked = new HashMap<>();
  private Revision revision = Revision.NONE;
  private boolean paused;
  private boolean over;
  private long nextDraw;

  private FakeNode(FakeFleet fleet, Member member, double clockRate, long clockOffsetMillis) {
    this.fleet = fleet;
    this.member = member;
    this.clockRate = clockRate;
    this.clockOffsetMillis = clockOffsetMillis;
    MembershipSettings settings = FakeFleet.MEMBERSHIP;
    this.membership = MembershipTracker.of(member, settings);
    this.limiter =
        ShareLimiter.of(member.incarnation(), member.domain(), FakeFleet.LIMITS, monitor);
  }

  static FakeNode of(FakeFleet fleet, Member member, double clockRate, long clockOffsetMillis) {
    return new FakeNode(fleet, member, clockRate, clockOffsetMillis);
  }

  /** Runs an event now, or after the pause, as a socket's buffer would keep it. */
  void handle(Runnable event) {
    if (over) {
      return;
    }
    if (paused) {
      buffered.add(event);
    } else {
      event.run();
    }
  }

  void pause() {
    paused = true;
  }

  /** Handles what was buffered before anything else. */
  void wake() {
    paused = false;
    List<Runnable> events = new ArrayList<>(buffered);
    buffered.clear();
    events.forEach(this::handle);
  }

  void end() {
    over = true;
  }

  void tickMembership() {
    act(membership.tick(clockMillis()));
  }

  void tickLimiter() {
    apply(limiter.tick(clockMillis()));
  }

  void listed(List<ListedInstance> instances) {
    act(membership.onInstanceList(clockMillis(), instances));
  }

  void document(FakePlatform.Document document, Set<FailureDomainId> domains) {
    if (!document.revision().isAfter(revision)) {
      return;
    }
    revision = document.revision();
    apply(limiter.configure(clockMillis(), revision, document.accounts(), domains));
    fleet.limitsChanged();
    act(membership.onDocumentApplied(clockMillis(), revision, ""));
  }

  void receive(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      act(membership.onHeartbeat(clockMillis(), heartbeat));
    } else if (message instanceof LimitMessage limit) {
      apply(limiter.receive(clockMillis(), from, limit));
    }
  }

  void acquire(AccountId account, long tokens) {
    nextDraw++;
    boolean idealGrants = fleet.asked(member.incarnation(), account, tokens);
    asked.put(DrawId.of(nextDraw), idealGrants);
    apply(limiter.acquire(clockMillis(), DrawId.of(nextDraw), account, tokens));
  }

  void refund(AccountId account, long tokens) {
    fleet.refunded(account, tokens);
    apply(limiter.refund(clockMillis(), account, tokens));
  }

  void leave() {
    apply(limiter.handOver(clockMillis()));
    act(membership.leave(clockMillis()));
  }

  /** Returns what part of an account this node would use now; a call comes before each use. */
  double portion(AccountId account) {
    if (over || paused) {
      return 0;
    }
    tickLimiter();
    return limiter.portion(account);
  }

  Member member() {
    return member;
  }

  Revision revision() {
    return revision;
  }

  boolean isOver() {
    return over;
  }

  boolean isPaused() {
    return paused;
  }

  InvariantMonitor monitor() {
    return monitor;
  }

  private long clockMillis() {
    return clockOffsetMillis + (long) (fleet.nowMillis() * clockRate);
  }

  private void act(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        fleet.sendToInstance(this, send.to(), send.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        apply(limiter.members(clockMillis(), changed.view()));
      }
    }
  }

  private void apply(List<LimitAction> actions) {
    for (LimitAction action : actions) {
      if (action instanceof LimitAction.Send send) {
        fleet.send(this, send.to(), send.message());
      } else if (action instanceof LimitAction.Granted granted) {
        asked.remove(granted.draw());
        fleet.granted(this, granted);
      } else if (action instanceof LimitAction.Denied denied) {
        fleet.denied(denied, asked.remove(denied.draw()));
      }
    }
  }
}
