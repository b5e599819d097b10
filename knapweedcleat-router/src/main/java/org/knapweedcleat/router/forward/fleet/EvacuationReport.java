package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.directory.DomainEvacuations;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.StorePosition;

/**
 * A change to the evacuation of a failure domain as sent to another instance.
 *
 * @param domain the failure domain
 * @param evacuated whether the change began the evacuation
 * @param position the position of the change, as a number ({@link StorePosition#toLong})
 */
public record EvacuationReport(String domain, boolean evacuated, long position) {

  static EvacuationReport of(DomainEvacuations.Change change) {
    return new EvacuationReport(
        change.domain().value(), change.evacuated(), change.position().toLong());
  }

  DomainEvacuations.Change toChange() {
    return new DomainEvacuations.Change(
        FailureDomainId.of(domain), evacuated, StorePosition.ofLong(position));
  }
}
