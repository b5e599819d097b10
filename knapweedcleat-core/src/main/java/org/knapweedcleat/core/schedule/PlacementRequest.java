package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks a scheduler where a request shall run.
 *
 * @param request the request
 * @param attempt counts the placements of this request, from 1
 * @param owner the incarnation that serves the caller
 * @param service the service asked for
 * @param account the client account that pays
 * @param withinRate whether the request is inside the account's rate and burst
 * @param promptTokens the length of the prompt, 0 for plain calls
 * @param maxOutputTokens the most tokens the answer may have, 0 for plain calls
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

  /** Copies the hashes. */
  public PlacementRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }

  /**
   * Returns the same question under another attempt and with another time left.
   *
   * @param newAttempt the count under which it is asked
   * @param millis the time left
   * @return the question
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
