package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;

/** Pledges this instance's share to the homes of slots, and collects pledges as a home itself. */
final class PledgeExchange {

  private static final long PEER_RETENTION_LEASES = 10;

  private final IncarnationId self;
  private final LimitSettings settings;
  private final LocalBuckets buckets;
  private final ShareOwnership ownership;
  private final HeldPledges held = HeldPledges.empty();
  private final IssuedPledges issued = IssuedPledges.empty();
  private final IncarnationId[] homes = new IncarnationId[AccountSlots.COUNT];
  private final Map<IncarnationId, Long> peerTimesMillis = new HashMap<>();
  private List<IncarnationId> peers = List.of();
  private long sequence;
  private long periodStartMillis;
  private long previousStartMillis;

  private PledgeExchange(
      IncarnationId self, LimitSettings settings, LocalBuckets buckets, ShareOwnership ownership) {
    this.self = self;
    this.settings = settings;
    this.buckets = buckets;
    this.ownership = ownership;
  }

  static PledgeExchange of(
      IncarnationId self, LimitSettings settings, LocalBuckets buckets, ShareOwnership ownership) {
    return new PledgeExchange(self, settings, buckets, ownership);
  }

  /** Updates the homes and returns the pledges of slots that now have another home. */
  void updateMembers(long nowMillis, MembershipView view, List<LimitAction> actions) {
    peers =
        view.domainMembers().stream()
            .map(Member::incarnation)
            .filter(member -> !member.equals(self))
            .toList();
    long lostSlots = 0;
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      IncarnationId previousHome = homes[slot];
      homes[slot] =
          view.stale()
              ? null
              : view.homeOfKey(AccountSlots.name(slot)).map(Member::incarnation).orElse(null);
      if (self.equals(previousHome) && !self.equals(homes[slot])) {
        lostSlots |= AccountSlots.bit(slot);
      }
    }
    release(nowMillis, lostSlots, actions);
    refreshFractions(nowMillis);
  }

  IncarnationId home(int slot) {
    return homes[slot];
  }

  List<IncarnationId> peers() {
    return peers;
  }

  /** Returns the latest value of its clock that a peer has sent. */
  long latestPeerMillis(IncarnationId peer) {
    return peerTimesMillis.getOrDefault(peer, Long.MIN_VALUE);
  }

  boolean isRecentPeriod(long past) {
    return past + 1 >= buckets.period();
  }

  boolean isRecentMillis(long pastMillis) {
    return pastMillis >= previousStartMillis;
  }

  /** Requests from every peer its share of the slots of which this instance is the home. */
  void renew(long nowMillis, MembershipView view, List<LimitAction> actions) {
    previousStartMillis = periodStartMillis;
    periodStartMillis = nowMillis;
    held.prune(nowMillis - PEER_RETENTION_LEASES * settings.leaseMillis());
    long wantedSlots = wantedSlots();
    for (IncarnationId peer : peers) {
      long heldSlots = held.slots(peer);
      if (wantedSlots != 0 || heldSlots != 0) {
        LimitMessage request =
            new LimitMessage.PledgeRequest(
                nowMillis, settings.leaseMillis(), wantedSlots, heldSlots, held.sequence(peer));
        actions.add(new LimitAction.Send(peer, request));
      }
    }
  }

  /** Pledges this instance's share of the requested slots to their home. */
  void handleRequest(
      long nowMillis,
      IncarnationId from,
      LimitMessage.PledgeRequest request,
      List<LimitAction> actions) {
    peerTimesMillis.merge(from, request.sentAtMillis(), Math::max);
    issued.reclaim(from, ~request.heldSlots(), request.acceptedSequence());
    refreshFractions(nowMillis);
    if (!ownership.isActive()) {
      return;
    }
    long leaseMillis = Math.min(request.leaseMillis(), settings.leaseMillis());
    long untilMillis =
        nowMillis + settings.maxOnOtherClockMillis(leaseMillis + settings.drawTimeoutMillis());
    sequence++;
    long slots = 0;
    List<SlotFill> fills = new ArrayList<>();
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      if (!AccountSlots.contains(request.wantedSlots(), slot) || !from.equals(homes[slot])) {
        continue;
      }
      if (!issued.isIssued(slot)) {
        fills.add(buckets.removeShare(nowMillis, slot, ownership.fraction()));
      } else if (!issued.isHeldBy(slot, from)) {
        continue;
      }
      issued.issue(slot, from, sequence, untilMillis);
      slots |= AccountSlots.bit(slot);
    }
    refreshFractions(nowMillis);
    LimitMessage pledge =
        new LimitMessage.Pledge(
            request.sentAtMillis(), sequence, slots, ownership.fraction(), fills);
    actions.add(new LimitAction.Send(from, pledge));
  }

  /** Accepts a pledge; its lease starts when this instance sent the request. */
  void handlePledge(long nowMillis, IncarnationId from, LimitMessage.Pledge pledge) {
    long untilMillis = pledge.sentAtMillis() + settings.leaseMillis();
    if (!held.accept(nowMillis, from, pledge, untilMillis)) {
      return;
    }
    refreshFractions(nowMillis);
    for (SlotFill fill : pledge.fills()) {
      if (AccountSlots.contains(pledge.slots(), fill.slot())) {
        buckets.addShare(nowMillis, fill, pledge.fraction());
      }
    }
  }

  /** Reclaims shares that a holder returns early, with the tokens left in their buckets. */
  void handleRelease(long nowMillis, IncarnationId from, LimitMessage.Release release) {
    long reclaimed = issued.reclaim(from, release.slots(), release.sequence());
    refreshFractions(nowMillis);
    for (SlotFill fill : release.fills()) {
      if (AccountSlots.contains(reclaimed, fill.slot())) {
        buckets.addShare(nowMillis, fill, ownership.fraction());
      }
    }
  }

  void releaseAll(long nowMillis, List<LimitAction> actions) {
    release(nowMillis, ~0L, actions);
  }

  /** Returns whether no expired pledge is in use. */
  boolean hasNoExpiredPledge(long nowMillis) {
    return held.nextExpiryMillis() > nowMillis;
  }

  /** Removes expired pledges, each with effect from the end of its lease. */
  void expire(long nowMillis) {
    long expiryMillis = held.nextExpiryMillis();
    while (expiryMillis <= nowMillis) {
      held.expire(expiryMillis);
      refreshFractions(expiryMillis);
      expiryMillis = held.nextExpiryMillis();
    }
    if (issued.expire(nowMillis)) {
      refreshFractions(nowMillis);
    }
  }

  /** Recomputes the usable fraction of each slot from the given time on. */
  void refreshFractions(long atMillis) {
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      double ownFraction = issued.isIssued(slot) ? 0 : ownership.fraction();
      buckets.setFraction(slot, ownFraction + held.fraction(slot), atMillis);
    }
  }

  private long wantedSlots() {
    long slots = 0;
    if (ownership.isRelinquished()) {
      return slots;
    }
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      if (self.equals(homes[slot])) {
        slots |= AccountSlots.bit(slot);
      }
    }
    return slots;
  }

  private void release(long nowMillis, long slots, List<LimitAction> actions) {
    for (IncarnationId peer : held.peers()) {
      long returnedSlots = held.slots(peer) & slots;
      if (returnedSlots != 0) {
        LimitMessage release =
            new LimitMessage.Release(
                held.sequence(peer), returnedSlots, removeFills(nowMillis, peer, returnedSlots));
        held.drop(peer, returnedSlots);
        refreshFractions(nowMillis);
        actions.add(new LimitAction.Send(peer, release));
      }
    }
  }

  private List<SlotFill> removeFills(long nowMillis, IncarnationId peer, long slots) {
    List<SlotFill> fills = new ArrayList<>();
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      if (AccountSlots.contains(slots, slot)) {
        fills.add(buckets.removeShare(nowMillis, slot, held.fractionOf(peer)));
      }
    }
    return fills;
  }
}
