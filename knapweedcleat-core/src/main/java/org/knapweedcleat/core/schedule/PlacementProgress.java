package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Reports a placement's progress to its scheduler.
 *
 * @param request the request
 * @param attempt the attempt number, from 1
 * @param stage the stage reached
 * @param tokens the prompt tokens that were computed rather than cached at PREFILLED, the output
 *     tokens at a terminal stage, otherwise 0
 */
public record PlacementProgress(RequestId request, int attempt, PlacementStage stage, int tokens)
    implements PeerMessage {}
