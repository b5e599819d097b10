package org.knapweedcleat.router.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;

/**
 * Detects incarnations of the own failure domain that have certainly ended.
 *
 * <p>An instance that is merely silent may be partitioned and still serve requests. An incarnation
 * has ended only when a newer one of the same instance appears, or when the instance has been
 * neither heard from nor listed by the platform for the removal delay.
 */
final class IncarnationTracker {

  private final Map<InstanceId, IncarnationId> lastKnown = new HashMap<>();

  private IncarnationTracker() {}

  static IncarnationTracker create() {
    return new IncarnationTracker();
  }

  /** Applies a view and returns the incarnations that have ended since the previous one. */
  Set<IncarnationId> update(MembershipView view) {
    Set<IncarnationId> ended = new HashSet<>();
    for (Member member : view.domainMembers()) {
      IncarnationId previous = lastKnown.put(member.id(), member.incarnation());
      if (previous != null && !previous.equals(member.incarnation())) {
        ended.add(previous);
      }
    }
    for (InstanceId instance : Set.copyOf(lastKnown.keySet())) {
      if (!view.possibleInstances().contains(instance)) {
        ended.add(lastKnown.remove(instance));
      }
    }
    return ended;
  }
}
