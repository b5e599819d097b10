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
 * Tells which incarnations of the own failure domain have certainly ended.
 *
 * <p>An instance that is merely silent may be cut off and still serve; it has ended only when a
 * newer incarnation of it speaks, or when it is neither heard nor listed for the quiet time.
 */
final class IncarnationTracker {

  private final Map<InstanceId, IncarnationId> lastKnown = new HashMap<>();

  private IncarnationTracker() {}

  static IncarnationTracker create() {
    return new IncarnationTracker();
  }

  /** Takes over a view and returns the incarnations that ended since the last one. */
  Set<IncarnationId> update(MembershipView view) {
    Set<IncarnationId> ended = new HashSet<>();
    for (Member member : view.domainMembers()) {
      IncarnationId before = lastKnown.put(member.id(), member.incarnation());
      if (before != null && !before.equals(member.incarnation())) {
        ended.add(before);
      }
    }
    for (InstanceId known : Set.copyOf(lastKnown.keySet())) {
      if (!view.possibleInstances().contains(known)) {
        ended.add(lastKnown.remove(known));
      }
    }
    return ended;
  }
}
