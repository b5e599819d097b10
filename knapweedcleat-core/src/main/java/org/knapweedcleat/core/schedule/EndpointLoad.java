package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * An endpoint's load report, which describes its state some time before it arrives.
 *
 * @param endpoint the endpoint
 * @param usedPieces memory pieces in use or reserved
 * @param totalPieces memory pieces in total
 * @param queuedPrefillTokens prompt tokens queued for prefill or being processed
 * @param runningDecodes requests that are generating tokens
 * @param held the requests that hold memory
 */
public record EndpointLoad(
    EndpointId endpoint,
    int usedPieces,
    int totalPieces,
    int queuedPrefillTokens,
    int runningDecodes,
    List<RequestId> held) {

  /** Makes a defensive copy of the list. */
  public EndpointLoad {
    held = List.copyOf(held);
  }
}
