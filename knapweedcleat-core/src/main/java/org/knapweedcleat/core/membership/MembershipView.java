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
 * An immutable snapshot of what one instance knows about the membership.
 *
 * @param self this instance
 * @param live the known live members including this instance, ordered by id; for other failure
 *     domains the list is incomplete
 * @param possibleInstances the instances of this failure domain that may be running, including this
 *     instance and those without heartbeats
 * @param possibleDomains the failure domains in which instances may be running, including this one
 * @param domainRevisions the lowest document revision that may still be applied in each other
 *     failure domain with recent heartbeats
 * @param ownDomainRevision the lowest document revision that an instance of this failure domain may
 *     still apply
 * @param epoch a number that rises with each change of the live members in any failure domain
 * @param selfListed whether the last confirmed list contains this instance with its address, at
 *     least the removal delay after its start or its last long pause
 * @param stale whether the process was paused recently and may not have received heartbeats since
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

  /** Makes unmodifiable copies of the collections. */
  public MembershipView {
    live = List.copyOf(live);
    possibleInstances = Set.copyOf(possibleInstances);
    possibleDomains = Set.copyOf(possibleDomains);
    domainRevisions = Map.copyOf(domainRevisions);
  }

  /**
   * Returns the live members of this failure domain.
   *
   * @return the members, including leaving ones and this instance
   */
  public List<Member> domainMembers() {
    return live.stream().filter(member -> member.domain().equals(self.domain())).toList();
  }

  /**
   * Returns the number of instances of this failure domain that may be running.
   *
   * @return the count, at least 1
   */
  public int possibleInstanceCount() {
    return possibleInstances.size();
  }

  /**
   * Returns the instance that schedules a pool in a failure domain.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @return the member, or empty if no live member that is not leaving is known
   */
  public Optional<Member> schedulerOf(PoolId pool, FailureDomainId domain) {
    return choose("scheduler/" + pool + "/" + domain, domain);
  }

  /**
   * Returns the instance of this failure domain that keeps the rate limit of a client account.
   *
   * @param account the client account
   * @return the member, or empty if no live member that is not leaving is known
   */
  public Optional<Member> homeOf(AccountId account) {
    return homeOfKey("account/" + account);
  }

  /**
   * Returns the instance of this failure domain that a key is assigned to.
   *
   * @param key any key
   * @return the member, or empty if no live member that is not leaving is known
   */
  public Optional<Member> homeOfKey(String key) {
    return choose("name/" + key, self.domain());
  }

  /**
   * Returns whether an incarnation is a live member.
   *
   * @param incarnation the incarnation
   * @return true if it is
   */
  public boolean isLive(IncarnationId incarnation) {
    return live.stream().anyMatch(member -> member.incarnation().equals(incarnation));
  }

  /**
   * Returns whether all failure domains in which instances may be running are known to apply at
   * least the given revision.
   *
   * @param revision the revision
   * @return false if any of them applies a lower revision or sends no heartbeats
   */
  public boolean isAppliedInAllDomains(Revision revision) {
    return possibleDomains.stream().noneMatch(domain -> revision.isAfter(lowestRevisionOf(domain)));
  }

  /**
   * Returns whether all instances of any other failure domain apply revisions above the given one.
   *
   * @param revision the revision
   * @return true if there is such a failure domain
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
