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
 * What an instance tells operators about itself. Holds no key.
 *
 * @param instance the instance
 * @param incarnation its current run
 * @param domain its failure domain
 * @param state how far it is
 * @param revision the revision in force
 * @param digest the digest of the document in force, empty for none
 * @param documentAgeMillis how long ago the platform or a peer last confirmed the document
 * @param members the instances that it counts as live, itself included
 * @param schedulerOf the pools that it schedules
 * @param homeOf the client accounts whose limits it keeps
 * @param inFlight the requests that it holds
 * @param invariantViolations the violations that it has counted
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
