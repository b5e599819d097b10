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
final class Incarnations {

  private final Map<InstanceId, IncarnationId> current = new HashMap<>();

  private Incarnations() {}

  static Incarnations create() {
    return new Incarnations();
  }

  /** Takes over a view and returns the incarnations that ended since the last one. */
  Set<IncarnationId> endedIn(MembershipView view) {
    Set<IncarnationId> ended = new HashSet<>();
    for (Member member : view.domainMembers()) {
      IncarnationId before = current.put(member.id(), member.incarnation());
      if (before != null && !before.equals(member.incarnation())) {
        ended.add(before);
      }
    }
    for (InstanceId known : Set.copyOf(current.keySet())) {
      if (!view.possibleInstances().contains(known)) {
        ended.add(current.remove(known));
      }
    }
    return ended;
  }
}
