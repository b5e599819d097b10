package org.knapweedcleat.router.placement;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/** Cancels orphaned requests, which no instance serves any more, to release their memory. */
@FunctionalInterface
public interface OrphanCanceller {

  /**
   * Sends one cancellation to an endpoint, without a retry; the next load report shows whether the
   * endpoint has released the request.
   *
   * @param endpoint the endpoint
   * @param request the request
   */
  void cancelOrphan(EndpointId endpoint, RequestId request);
}
