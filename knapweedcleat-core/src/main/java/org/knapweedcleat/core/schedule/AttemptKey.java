package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.RequestId;

/**
 * Identifies one placement attempt of a request.
 *
 * @param request the request
 * @param attempt the attempt number, from 1
 */
record AttemptKey(RequestId request, int attempt) {

  static AttemptKey of(PlacementRequest request) {
    return new AttemptKey(request.request(), request.attempt());
  }

  static AttemptKey of(PlacementProgress progress) {
    return new AttemptKey(progress.request(), progress.attempt());
  }
}
