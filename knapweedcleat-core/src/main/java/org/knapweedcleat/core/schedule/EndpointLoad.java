package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * What an endpoint reports of itself; reports arrive late.
 *
 * @param endpoint the endpoint
 * @param usedPieces pieces of memory in use or reserved
 * @param totalPieces pieces of memory in all
 * @param queuedPrefillTokens prompt tokens that wait or are being read
 * @param runningDecodes requests that generate tokens
 * @param held the requests that hold memory
 */
public record EndpointLoad(
    EndpointId endpoint,
    int usedPieces,
    int totalPieces,
    int queuedPrefillTokens,
    int runningDecodes,
    List<RequestId> held) {

  /** Copies the list. */
  public EndpointLoad {
    held = List.copyOf(held);
  }
}
