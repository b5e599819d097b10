package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;

/**
 * The endpoints and expected prefill work of a possible placement.
 *
 * @param prefill the prefill endpoint, null for plain calls
 * @param runner the decode endpoint, or the endpoint of a plain call
 * @param cachedBlocks the leading prompt blocks that the prefill endpoint probably has cached
 * @param prefillTokens the expected number of prompt tokens to compute
 * @param prefillDelayMillis how long to delay prefill so that its result can be transferred in time
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
