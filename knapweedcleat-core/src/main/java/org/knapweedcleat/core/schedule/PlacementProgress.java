package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells the scheduler how far a placement has come.
 *
 * @param request the request
 * @param attempt counts the placements of this request, from 1
 * @param stage the stage reached
 * @param tokens prompt tokens that were computed (not cached) at PREFILLED, output tokens at the
 *     end, else 0
 */
public record PlacementProgress(RequestId request, int attempt, PlacementStage stage, int tokens)
    implements PeerMessage {}
