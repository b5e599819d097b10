package org.knapweedcleat.router.placement;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/** Releases the memory of requests that nobody serves any more. */
@FunctionalInterface
public interface OrphanCanceller {

  /**
   * Cancels a request at an endpoint, once; the next load report shows whether it helped.
   *
   * @param endpoint the endpoint
   * @param request the request
   */
  void cancelOrphan(EndpointId endpoint, RequestId request);
}
