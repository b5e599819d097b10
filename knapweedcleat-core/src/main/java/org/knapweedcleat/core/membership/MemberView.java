package org.knapweedcleat.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;

/**
 * What one instance knows of the others at one time.
 *
 * @param self the own instance
 * @param live the live members that are known, the own one included, in the order of their ids; of
 *     other failure domains only some are known
 * @param possible the instances of the own failure domain that may be at work, heard or not, the
 *     own one included
 * @param domains the failure domains where instances may be at work, the own one included
 * @param revisions for each other failure domain heard from recently, the lowest revision that it
 *     may still apply
 * @param ownRevision the lowest revision that an instance of the own failure domain may still apply
 * @param epoch rises with each change of the live members, also over failure domains
 * @param listed whether the last list that was confirmed shows the own instance at the own address,
 *     a quiet time after the start or the last long pause
 * @param stale whether the process was paused and has not yet heard the others again
 */
public record MemberView(
    Member self,
    List<Member> live,
    Set<InstanceId> possible,
    Set<FailureDomainId> domains,
    Map<FailureDomainId, Revision> revisions,
    Revision ownRevision,
    long epoch,
    boolean listed,
    boolean stale) {

  /** Copies the collections. */
  public MemberView {
    live = List.copyOf(live);
    possible = Set.copyOf(possible);
    domains = Set.copyOf(domains);
    revisions = Map.copyOf(revisions);
  }

  /**
   * Lists the live members of the own failure domain.
   *
   * @return the members, leaving ones and the own one included
   */
  public List<Member> domainMembers() {
    return live.stream().filter(member -> member.domain().equals(self.domain())).toList();
  }

  /**
   * Returns how many instances of the own failure domain may be at work.
   *
   * @return the count, at least 1
   */
  public int domainSize() {
    return possible.size();
  }

  /**
   * Finds the instance that schedules a pool in a failure domain.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @return the member, or empty while no live one is known that is not leaving
   */
  public Optional<Member> schedulerOf(PoolId pool, FailureDomainId domain) {
    return choose("scheduler/" + pool + "/" + domain, domain);
  }

  /**
   * Finds the instance of the own failure domain that keeps a client account's tokens.
   *
   * @param account the client account
   * @return the member, or empty while no live one is known that is not leaving
   */
  public Optional<Member> homeOf(AccountId account) {
    return homeOfName("account/" + account);
  }

  /**
   * Finds the instance of the own failure domain that a name belongs to.
   *
   * @param name any name
   * @return the member, or empty while no live one is known that is not leaving
   */
  public Optional<Member> homeOfName(String name) {
    return choose("name/" + name, self.domain());
  }

  /**
   * Tells whether an incarnation is a live member.
   *
   * @param incarnation the incarnation
   * @return true if it is
   */
  public boolean isLive(IncarnationId incarnation) {
    return live.stream().anyMatch(member -> member.incarnation().equals(incarnation));
  }

  /**
   * Tells whether every failure domain where instances may be at work is known to apply a revision
   * or a higher one.
   *
   * @param revision the revision
   * @return false while one of them is not heard from
   */
  public boolean isAppliedEverywhere(Revision revision) {
    return domains.stream().noneMatch(domain -> revision.isAfter(revisionOf(domain)));
  }

  /**
   * Tells whether some failure domain applies only revisions above the given one.
   *
   * @param revision the revision
   * @return true if one does
   */
  public boolean isSupersededAnywhere(Revision revision) {
    return revisions.values().stream().anyMatch(other -> other.isAfter(revision));
  }

  private Revision revisionOf(FailureDomainId domain) {
    if (domain.equals(self.domain())) {
      return ownRevision;
    }
    return revisions.getOrDefault(domain, Revision.NONE);
  }

  private Optional<Member> choose(String name, FailureDomainId domain) {
    List<Member> candidates =
        live.stream()
            .filter(member -> member.domain().equals(domain) && !member.leaving())
            .toList();
    return RendezvousHash.choose(name, candidates, member -> member.id().value());
  }
}
