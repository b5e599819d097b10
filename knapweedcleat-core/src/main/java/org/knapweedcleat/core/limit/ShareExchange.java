package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;

/** Pledges the own share to the homes of slots, and gathers pledges for the slots of this home. */
final class ShareExchange {

  private static final long FORGET_LEASES = 10;

  private final IncarnationId self;
  private final LimitSettings settings;
  private final LocalTokens tokens;
  private final ShareOwnership ownership;
  private final HeldPledges held = HeldPledges.empty();
  private final GivenPledges given = GivenPledges.empty();
  private final IncarnationId[] homes = new IncarnationId[Slots.COUNT];
  private final Map<IncarnationId, Long> heardMillis = new HashMap<>();
  private List<IncarnationId> peers = List.of();
  private long sequence;
  private long periodStartMillis;
  private long previousStartMillis;

  private ShareExchange(
      IncarnationId self, LimitSettings settings, LocalTokens tokens, ShareOwnership ownership) {
    this.self = self;
    this.settings = settings;
    this.tokens = tokens;
    this.ownership = ownership;
  }

  static ShareExchange of(
      IncarnationId self, LimitSettings settings, LocalTokens tokens, ShareOwnership ownership) {
    return new ShareExchange(self, settings, tokens, ownership);
  }

  /** Finds the new homes and gives the slots back that have another home now. */
  void members(long nowMillis, MembershipView view, List<LimitAction> actions) {
    peers =
        view.domainMembers().stream()
            .map(Member::incarnation)
            .filter(member -> !member.equals(self))
            .toList();
    long lost = 0;
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      IncarnationId last = homes[slot];
      homes[slot] =
          view.stale()
              ? null
              : view.homeOfKey(Slots.name(slot)).map(Member::incarnation).orElse(null);
      if (self.equals(last) && !self.equals(homes[slot])) {
        lost |= Slots.bit(slot);
      }
    }
    release(nowMillis, lost, actions);
    refreshFractions(nowMillis);
  }

  IncarnationId home(int slot) {
    return homes[slot];
  }

  List<IncarnationId> peers() {
    return peers;
  }

  /** Returns the highest time that a peer has told of its own clock. */
  long heardMillis(IncarnationId peer) {
    return heardMillis.getOrDefault(peer, Long.MIN_VALUE);
  }

  boolean isRecentPeriod(long past) {
    return past + 1 >= tokens.period();
  }

  boolean isRecentMillis(long pastMillis) {
    return pastMillis >= previousStartMillis;
  }

  /** Asks every peer for its share of the slots of this home. */
  void renew(long nowMillis, MembershipView view, List<LimitAction> actions) {
    previousStartMillis = periodStartMillis;
    periodStartMillis = nowMillis;
    held.forget(nowMillis - FORGET_LEASES * settings.leaseMillis());
    long wanted = wantedSlots();
    for (IncarnationId peer : peers) {
      long has = held.slots(peer);
      if (wanted != 0 || has != 0) {
        LimitMessage request =
            new LimitMessage.PledgeRequest(
                nowMillis, settings.leaseMillis(), wanted, has, held.sequence(peer));
        actions.add(new LimitAction.Send(peer, request));
      }
    }
  }

  /** Leases the own share of the slots whose home asks for them. */
  void requested(
      long nowMillis,
      IncarnationId from,
      LimitMessage.PledgeRequest request,
      List<LimitAction> actions) {
    heardMillis.merge(from, request.sentAtMillis(), Math::max);
    given.takeBack(from, ~request.heldSlots(), request.acceptedSequence());
    refreshFractions(nowMillis);
    if (!ownership.isActive()) {
      return;
    }
    long leaseMillis = Math.min(request.leaseMillis(), settings.leaseMillis());
    long untilMillis =
        nowMillis + settings.onAnyClockMillis(leaseMillis + settings.drawTimeoutMillis());
    sequence++;
    long slots = 0;
    List<SlotFill> fills = new ArrayList<>();
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      if (!Slots.contains(request.wantedSlots(), slot) || !from.equals(homes[slot])) {
        continue;
      }
      if (!given.isGiven(slot)) {
        fills.add(tokens.remove(nowMillis, slot, ownership.fraction()));
      } else if (!given.isHeldBy(slot, from)) {
        continue;
      }
      given.give(slot, from, sequence, untilMillis);
      slots |= Slots.bit(slot);
    }
    refreshFractions(nowMillis);
    LimitMessage pledge =
        new LimitMessage.Pledge(
            request.sentAtMillis(), sequence, slots, ownership.fraction(), fills);
    actions.add(new LimitAction.Send(from, pledge));
  }

  /** Takes a pledge; its lease runs from when this instance asked for it. */
  void pledged(long nowMillis, IncarnationId from, LimitMessage.Pledge pledge) {
    long untilMillis = pledge.sentAtMillis() + settings.leaseMillis();
    if (!held.accept(nowMillis, from, pledge, untilMillis)) {
      return;
    }
    refreshFractions(nowMillis);
    for (SlotFill fill : pledge.fills()) {
      if (Slots.contains(pledge.slots(), fill.slot())) {
        tokens.add(nowMillis, fill, pledge.fraction());
      }
    }
  }

  /** Takes shares back that a holder gives back early, with the tokens saved on them. */
  void released(long nowMillis, IncarnationId from, LimitMessage.Release release) {
    long taken = given.takeBack(from, release.slots(), release.sequence());
    refreshFractions(nowMillis);
    for (SlotFill fill : release.fills()) {
      if (Slots.contains(taken, fill.slot())) {
        tokens.add(nowMillis, fill, ownership.fraction());
      }
    }
  }

  void releaseAll(long nowMillis, List<LimitAction> actions) {
    release(nowMillis, ~0L, actions);
  }

  /** Tells whether no lapsed pledge is in use. */
  boolean isCurrent(long nowMillis) {
    return held.nextLapseMillis() > nowMillis;
  }

  /** Removes what has lapsed, each pledge at the time that its lease ended. */
  void lapse(long nowMillis) {
    long lapseMillis = held.nextLapseMillis();
    while (lapseMillis <= nowMillis) {
      held.lapse(lapseMillis);
      refreshFractions(lapseMillis);
      lapseMillis = held.nextLapseMillis();
    }
    if (given.lapse(nowMillis)) {
      refreshFractions(nowMillis);
    }
  }

  /** Works out anew what may be used of each slot from the given time on. */
  void refreshFractions(long atMillis) {
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      double own = given.isGiven(slot) ? 0 : ownership.fraction();
      tokens.setFraction(slot, own + held.fraction(slot), atMillis);
    }
  }

  private long wantedSlots() {
    long wanted = 0;
    if (ownership.isOver()) {
      return wanted;
    }
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      if (self.equals(homes[slot])) {
        wanted |= Slots.bit(slot);
      }
    }
    return wanted;
  }

  private void release(long nowMillis, long slots, List<LimitAction> actions) {
    for (IncarnationId peer : held.peers()) {
      long back = held.slots(peer) & slots;
      if (back != 0) {
        LimitMessage release =
            new LimitMessage.Release(held.sequence(peer), back, removeFills(nowMillis, peer, back));
        held.drop(peer, back);
        refreshFractions(nowMillis);
        actions.add(new LimitAction.Send(peer, release));
      }
    }
  }

  private List<SlotFill> removeFills(long nowMillis, IncarnationId peer, long slots) {
    List<SlotFill> fills = new ArrayList<>();
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      if (Slots.contains(slots, slot)) {
        fills.add(tokens.remove(nowMillis, slot, held.fractionOf(peer)));
      }
    }
    return fills;
  }
}
