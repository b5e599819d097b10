package org.knapweedcleat.router.forward.call;

/** The responses that the router generates itself. */
enum RouterResponse {
  /** The request is malformed. */
  MALFORMED(400, "malformed"),
  /** The API key is missing or unknown. */
  UNKNOWN_KEY(401, "unknown_key"),
  /** No route matches the host and path. */
  NO_ROUTE(404, "no_route"),
  /** The client account has exceeded its quota; the call has not run. */
  OVER_QUOTA(429, "over_quota"),
  /** The call failed; it may have run. */
  FAILED(502, "failed"),
  /** The call has not run and can be retried. */
  NOT_RUN(503, "not_run"),
  /** The deadline has passed. */
  TIMED_OUT(504, "timed_out");

  private final int status;
  private final String label;

  RouterResponse(int status, String label) {
    this.status = status;
    this.label = label;
  }

  int status() {
    return status;
  }

  String label() {
    return label;
  }
}
