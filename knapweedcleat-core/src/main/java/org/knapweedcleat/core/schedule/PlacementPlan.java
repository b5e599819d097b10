package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;

/**
 * Where a request would run if it were placed now.
 *
 * @param prefill where the prompt is read, null for plain calls
 * @param runner where tokens are generated or the plain call runs
 * @param cachedBlocks the leading blocks of the prompt that the prefill endpoint is likely to have
 * @param prefillTokens the prompt tokens that are likely to be computed
 * @param prefillDelayMillis how long prefill waits so that its result does not wait for the link
 */
record PlacementPlan(
    EndpointId prefill,
    EndpointId runner,
    int cachedBlocks,
    int prefillTokens,
    long prefillDelayMillis) {

  PlacementDecision decide(PlacementRequest request) {
    if (prefill == null) {
      return new PlacementDecision.Plain(request.request(), request.attempt(), runner);
    }
    return new PlacementDecision.Split(
        request.request(), request.attempt(), prefill, runner, prefillDelayMillis);
  }
}
