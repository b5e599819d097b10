package org.knapweedcleat.router.node;

import java.util.Comparator;
import java.util.List;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.membership.RendezvousHash;

/** Selects the instances of a failure domain that read the platform on behalf of the others. */
final class PlatformReaderSelector {

  private static final int READERS_PER_DOMAIN = 2;
  private static final String RENDEZVOUS_KEY = "platform-reader";

  private PlatformReaderSelector() {}

  /** Tells whether this instance is one of the readers. */
  static boolean isReader(MembershipView view) {
    Comparator<Member> byHash =
        Comparator.comparingLong(
            member -> RendezvousHash.weight(RENDEZVOUS_KEY, member.id().value()));
    List<Member> readers =
        view.domainMembers().stream()
            .filter(member -> !member.leaving())
            .sorted(byHash.reversed())
            .limit(READERS_PER_DOMAIN)
            .toList();
    return readers.stream()
        .anyMatch(member -> member.incarnation().equals(view.self().incarnation()));
  }
}
