package org.knapweedcleat.router.forward.call;

import java.util.Optional;
import org.knapweedcleat.router.forward.http.EndpointRequest;

/**
 * The requests of one call that are open at endpoints: the current one, and one at a silent
 * endpoint that is kept open until another endpoint has taken the call over.
 */
final class OpenRequests {

  private Optional<EndpointRequest> current = Optional.empty();
  private Optional<EndpointRequest> standby = Optional.empty();

  void begin(EndpointRequest sent) {
    current = Optional.of(sent);
  }

  Optional<EndpointRequest> current() {
    return current;
  }

  /** Keeps the current request open beside the next one. */
  void keepAsStandby() {
    standby = current;
    current = Optional.empty();
  }

  /** Aborts the current request, if any, and makes the standby the current one. */
  void returnToStandby() {
    abortCurrent();
    current = standby;
    standby = Optional.empty();
  }

  void abortCurrent() {
    current.ifPresent(EndpointRequest::abort);
    current = Optional.empty();
  }

  void abortStandby() {
    standby.ifPresent(EndpointRequest::abort);
    standby = Optional.empty();
  }
}
