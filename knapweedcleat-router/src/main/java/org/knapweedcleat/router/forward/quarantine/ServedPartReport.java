package org.knapweedcleat.router.forward.quarantine;

import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.quarantine.PromptPartId;
import org.knapweedcleat.core.quarantine.ServedPart;

/**
 * A {@link ServedPart} as sent to another instance, whose clock differs.
 *
 * @param part the part's id
 * @param ageMillis the time since an engine survived a request with it
 */
public record ServedPartReport(String part, long ageMillis) {

  static ServedPartReport of(long nowMillis, ServedPart served) {
    return new ServedPartReport(served.part().value(), nowMillis - served.servedAtMillis());
  }

  ServedPart toServedPart(long nowMillis, ObservationSource source) {
    return new ServedPart(PromptPartId.of(part), nowMillis - ageMillis, source);
  }
}
