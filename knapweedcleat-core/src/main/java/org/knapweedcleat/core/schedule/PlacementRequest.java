package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks a scheduler to place a request.
 *
 * @param request the request
 * @param attempt the attempt number, from 1
 * @param owner the incarnation that serves the caller
 * @param service the requested service
 * @param account the client account that is charged
 * @param withinRate whether the request is within the account's rate and burst
 * @param promptTokens the length of the prompt, 0 for plain calls
 * @param maxOutputTokens the maximum number of output tokens, 0 for plain calls
 * @param prefixHashes chained hashes of the prompt's leading blocks, shortest prefix first
 * @param remainingMillis the time left until the caller's deadline
 */
public record PlacementRequest(
    RequestId request,
    int attempt,
    IncarnationId owner,
    ServiceId service,
    AccountId account,
    boolean withinRate,
    int promptTokens,
    int maxOutputTokens,
    List<Long> prefixHashes,
    long remainingMillis)
    implements PeerMessage {

  /** Makes a defensive copy of the hashes. */
  public PlacementRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }

  /**
   * Returns the same request with another attempt number and remaining time.
   *
   * @param newAttempt the attempt number, from 1
   * @param millis the remaining time
   * @return the placement request
   */
  public PlacementRequest withAttempt(int newAttempt, long millis) {
    return new PlacementRequest(
        request,
        newAttempt,
        owner,
        service,
        account,
        withinRate,
        promptTokens,
        maxOutputTokens,
        prefixHashes,
        millis);
  }
}
