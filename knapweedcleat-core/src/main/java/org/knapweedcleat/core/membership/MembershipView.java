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
 * @param possibleInstances the instances of the own failure domain that may be at work, heard or not, the
 *     own one included
 * @param possibleDomains the failure domains where instances may be at work, the own one included
 * @param domainRevisions for each other failure domain heard from recently, the lowest revision that it
 *     may still apply
 * @param ownDomainRevision the lowest revision that an instance of the own failure domain may still apply
 * @param epoch rises with each change of the live members, also over failure domains
 * @param selfListed whether the last list that was confirmed shows the own instance at the own address,
 *     a quiet time after the start or the last long pause
 * @param stale whether the process was paused and has not yet heard the others again
 */
public record MembershipView(
    Member self,
    List<Member> live,
    Set<InstanceId> possibleInstances,
    Set<FailureDomainId> possibleDomains,
    Map<FailureDomainId, Revision> domainRevisions,
    Revision ownDomainRevision,
    long epoch,
    boolean selfListed,
    boolean stale) {

  /** Copies the collections. */
  public MembershipView {
    live = List.copyOf(live);
    possibleInstances = Set.copyOf(possibleInstances);
    possibleDomains = Set.copyOf(possibleDomains);
    domainRevisions = Map.copyOf(domainRevisions);
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
  public int possibleInstanceCount() {
    return possibleInstances.size();
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
    return homeOfKey("account/" + account);
  }

  /**
   * Finds the instance of the own failure domain that a name belongs to.
   *
   * @param key any name
   * @return the member, or empty while no live one is known that is not leaving
   */
  public Optional<Member> homeOfKey(String key) {
    return choose("name/" + key, self.domain());
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
  public boolean isAppliedInAllDomains(Revision revision) {
    return possibleDomains.stream().noneMatch(domain -> revision.isAfter(lowestRevisionOf(domain)));
  }

  /**
   * Tells whether some failure domain applies only revisions above the given one.
   *
   * @param revision the revision
   * @return true if one does
   */
  public boolean isSupersededInAnyDomain(Revision revision) {
    return domainRevisions.values().stream().anyMatch(other -> other.isAfter(revision));
  }

  private Revision lowestRevisionOf(FailureDomainId domain) {
    if (domain.equals(self.domain())) {
      return ownDomainRevision;
    }
    return domainRevisions.getOrDefault(domain, Revision.NONE);
  }

  private Optional<Member> choose(String key, FailureDomainId domain) {
    List<Member> candidates =
        live.stream()
            .filter(member -> member.domain().equals(domain) && !member.leaving())
            .toList();
    return RendezvousHash.choose(key, candidates, member -> member.id().value());
  }
}
