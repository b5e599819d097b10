package org.knapweedcleat.router.operator;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.Member;

/**
 * The status of an instance as shown to operators. Contains no API keys.
 *
 * @param instance the instance
 * @param incarnation its current incarnation
 * @param domain its failure domain
 * @param state its lifecycle state
 * @param revision the revision in force
 * @param digest the digest of the document in force, empty if there is none
 * @param documentAgeMillis the time since the platform or a peer last confirmed the document
 * @param members the instances that it considers live, including itself
 * @param schedulerOf the pools that it schedules
 * @param homeOf the client accounts whose limits it manages
 * @param inFlight the number of requests in flight
 * @param invariantViolations the number of invariant violations detected
 */
public record InstanceStatus(
    InstanceId instance,
    IncarnationId incarnation,
    FailureDomainId domain,
    InstanceState state,
    Revision revision,
    String digest,
    long documentAgeMillis,
    List<Member> members,
    List<PoolId> schedulerOf,
    List<AccountId> homeOf,
    int inFlight,
    long invariantViolations) {

  /** Copies the lists. */
  public InstanceStatus {
    members = List.copyOf(members);
    schedulerOf = List.copyOf(schedulerOf);
    homeOf = List.copyOf(homeOf);
  }
}
