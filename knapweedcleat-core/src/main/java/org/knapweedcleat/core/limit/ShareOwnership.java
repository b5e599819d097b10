package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;

/**
 * Determines this instance's share of the failure domain's rate and burst: one of N equal shares,
 * once every other possible owner counts this instance among the N.
 */
final class ShareOwnership {

  /** An instance's answer to a join request. */
  private record Answer(
      IncarnationId from, List<InstanceId> counted, Revision confirmed, long firstMillis) {}

  /** The incarnation of an instance that gave up its share, and when. */
  private record Ended(long startNumber, long atMillis) {}

  private final InstanceId self;
  private final LimitSettings settings;
  private final Map<InstanceId, Answer> answers = new HashMap<>();
  private final Map<InstanceId, Long> newestStartNumbers = new HashMap<>();
  private final Map<InstanceId, Ended> ended = new HashMap<>();
  private final Set<InstanceId> joiners = new HashSet<>();
  private MembershipView view;
  private long nowMillis;
  private long earliestMillis = Long.MIN_VALUE;
  private long generation = 1;
  private boolean active;
  private boolean relinquished;

  private ShareOwnership(InstanceId self, LimitSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  static ShareOwnership of(InstanceId self, LimitSettings settings) {
    return new ShareOwnership(self, settings);
  }

  void updateMembers(MembershipView next) {
    view = next;
    joiners.removeAll(next.possibleInstances());
    next.domainMembers().forEach(member -> recordIncarnation(member.incarnation()));
  }

  /** Returns whether other instances may regard this one as dead, according to the view. */
  boolean isDoubtful() {
    return view != null && (view.stale() || !view.selfListed());
  }

  /**
   * Gives up this instance's share and starts to join again. The current view may date from before
   * a pause, so the share is not taken again until membership has had time to detect the pause.
   */
  void restartJoin(long millis) {
    active = false;
    earliestMillis = millis + settings.pledgeDrainMillis();
    generation++;
    answers.clear();
  }

  /** Gives up this instance's share permanently. */
  void relinquish() {
    active = false;
    relinquished = true;
  }

  /** Counts an instance from now on; an incarnation that was replaced gets no answer. */
  Optional<LimitMessage> handleJoin(
      IncarnationId from, LimitMessage.JoinRequest request, Revision confirmed) {
    InstanceId joiner = from.instance();
    if (recordIncarnation(from) > from.startNumber()) {
      return Optional.empty();
    }
    if (view == null || !view.possibleInstances().contains(joiner)) {
      joiners.add(joiner);
    }
    return Optional.of(
        new LimitMessage.JoinAnswer(
            request.generation(), List.copyOf(countedInstances()), confirmed));
  }

  void handleAnswer(long nowMillis, IncarnationId from, LimitMessage.JoinAnswer answer) {
    if (answer.generation() != generation) {
      return;
    }
    recordIncarnation(from);
    Answer last = answers.get(from.instance());
    boolean first = last == null || !last.from().equals(from);
    long firstMillis = first ? nowMillis : last.firstMillis();
    answers.put(
        from.instance(), new Answer(from, answer.counted(), answer.confirmed(), firstMillis));
  }

  /** Stops counting an instance once all pledges that it issued have expired. */
  void handleEnded(long nowMillis, IncarnationId from) {
    Ended last = ended.get(from.instance());
    if (last == null || last.startNumber() < from.startNumber()) {
      ended.put(from.instance(), new Ended(from.startNumber(), nowMillis));
    }
  }

  void advance(long millis) {
    nowMillis = millis;
  }

  /** Takes this instance's share once all others count it and older pledges have expired. */
  boolean activate(long nowMillis) {
    if (active || relinquished || view == null || isDoubtful() || nowMillis < earliestMillis) {
      return false;
    }
    active = requiredAnswers().stream().allMatch(instance -> isSettled(nowMillis, instance));
    return active;
  }

  /** Returns the incarnations to send join requests to while this instance owns no share. */
  List<IncarnationId> joinTargets() {
    if (active || relinquished || view == null) {
      return List.of();
    }
    return view.domainMembers().stream()
        .map(Member::incarnation)
        .filter(member -> !member.instance().equals(self))
        .toList();
  }

  /** Returns whether a peer has confirmed a revision. */
  boolean isConfirmedByPeer(Revision revision) {
    return answers.values().stream().anyMatch(answer -> answer.confirmed().equals(revision));
  }

  double fraction() {
    return active ? 1.0 / countedInstances().size() : 0;
  }

  boolean isRelinquished() {
    return relinquished;
  }

  long generation() {
    return generation;
  }

  boolean isActive() {
    return active;
  }

  private Set<InstanceId> countedInstances() {
    Set<InstanceId> counted = new HashSet<>(joiners);
    if (view != null) {
      counted.addAll(view.possibleInstances());
    }
    counted.removeIf(this::isEnded);
    counted.add(self);
    return counted;
  }

  private Set<InstanceId> requiredAnswers() {
    Set<InstanceId> required = countedInstances();
    answers.values().forEach(answer -> required.addAll(answer.counted()));
    required.removeIf(this::isEnded);
    required.remove(self);
    return required;
  }

  private boolean isSettled(long nowMillis, InstanceId instance) {
    Answer answer = answers.get(instance);
    if (answer == null || nowMillis < answer.firstMillis() + settings.pledgeDrainMillis()) {
      return false;
    }
    return view.domainMembers().stream()
        .filter(member -> member.id().equals(instance))
        .allMatch(member -> member.incarnation().equals(answer.from()));
  }

  /** Records an incarnation and returns the highest known start number of its instance. */
  private long recordIncarnation(IncarnationId incarnation) {
    return newestStartNumbers.merge(incarnation.instance(), incarnation.startNumber(), Math::max);
  }

  private boolean isEnded(InstanceId instance) {
    Ended record = ended.get(instance);
    return record != null
        && nowMillis >= record.atMillis() + settings.pledgeDrainMillis()
        && record.startNumber() >= newestStartNumbers.getOrDefault(instance, Long.MIN_VALUE);
  }
}
