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
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.message.PeerMessage;

/** One incarnation in a {@link SimulatedFleet}, with its own skewed clock. */
final class SimulatedInstance {

  private final SimulatedFleet fleet;
  private final Member member;
  private final double clockRate;
  private final long clockOffsetMillis;
  private final MembershipTracker membership;
  private final DistributedRateLimiter limiter;
  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final List<Runnable> buffered = new ArrayList<>();
  private final Map<DrawId, Boolean> idealOutcomes = new HashMap<>();
  private Revision revision = Revision.NONE;
  private boolean paused;
  private boolean ended;
  private long nextDraw;

  private SimulatedInstance(
      SimulatedFleet fleet, Member member, double clockRate, long clockOffsetMillis) {
    this.fleet = fleet;
    this.member = member;
    this.clockRate = clockRate;
    this.clockOffsetMillis = clockOffsetMillis;
    MembershipSettings settings = SimulatedFleet.MEMBERSHIP;
    this.membership = MembershipTracker.of(member, settings);
    this.limiter =
        DistributedRateLimiter.of(
            member.incarnation(), member.domain(), SimulatedFleet.LIMITS, monitor);
  }

  static SimulatedInstance of(
      SimulatedFleet fleet, Member member, double clockRate, long clockOffsetMillis) {
    return new SimulatedInstance(fleet, member, clockRate, clockOffsetMillis);
  }

  /** Runs an event now, or buffers it during a pause as a socket would. */
  void handle(Runnable event) {
    if (ended) {
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

  /** Resumes and handles the buffered events first. */
  void resume() {
    paused = false;
    List<Runnable> events = new ArrayList<>(buffered);
    buffered.clear();
    events.forEach(this::handle);
  }

  void end() {
    ended = true;
  }

  void tickMembership() {
    applyMembership(membership.tick(clockMillis()));
  }

  void tickLimiter() {
    applyLimits(limiter.tick(clockMillis()));
  }

  void updateInstances(List<ListedInstance> instances) {
    applyMembership(membership.onInstanceList(clockMillis(), instances));
  }

  void applyDocument(SimulatedPlatform.Document document, Set<FailureDomainId> domains) {
    if (!document.revision().isAfter(revision)) {
      return;
    }
    revision = document.revision();
    applyLimits(limiter.configure(clockMillis(), revision, document.accounts(), domains));
    fleet.updateObservedLimits();
    applyMembership(membership.onDocumentApplied(clockMillis(), revision, ""));
  }

  void receive(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      applyMembership(membership.onHeartbeat(clockMillis(), heartbeat));
    } else if (message instanceof LimitMessage limit) {
      applyLimits(limiter.receive(clockMillis(), from, limit));
    }
  }

  void acquire(AccountId account, long tokens) {
    nextDraw++;
    boolean idealGrants = fleet.recordAcquisition(member.incarnation(), account, tokens);
    idealOutcomes.put(DrawId.of(nextDraw), idealGrants);
    applyLimits(limiter.acquire(clockMillis(), DrawId.of(nextDraw), account, tokens));
  }

  void refund(AccountId account, long tokens) {
    fleet.recordRefund(account, tokens);
    applyLimits(limiter.refund(clockMillis(), account, tokens));
  }

  void leave() {
    applyLimits(limiter.handOver(clockMillis()));
    applyMembership(membership.leave(clockMillis()));
  }

  /**
   * Returns the fraction of an account that is usable now, after the tick that precedes any use.
   */
  double accountFraction(AccountId account) {
    if (ended || paused) {
      return 0;
    }
    tickLimiter();
    return limiter.accountFraction(account);
  }

  Member member() {
    return member;
  }

  Revision revision() {
    return revision;
  }

  boolean isEnded() {
    return ended;
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

  private void applyMembership(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        fleet.sendToInstance(this, send.to(), send.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        applyLimits(limiter.updateMembers(clockMillis(), changed.view()));
      }
    }
  }

  private void applyLimits(List<LimitAction> actions) {
    for (LimitAction action : actions) {
      if (action instanceof LimitAction.Send send) {
        fleet.send(this, send.to(), send.message());
      } else if (action instanceof LimitAction.Granted granted) {
        idealOutcomes.remove(granted.draw());
        fleet.recordGrant(this, granted);
      } else if (action instanceof LimitAction.Denied denied) {
        fleet.recordDenial(denied, idealOutcomes.remove(denied.draw()));
      }
    }
  }
}
