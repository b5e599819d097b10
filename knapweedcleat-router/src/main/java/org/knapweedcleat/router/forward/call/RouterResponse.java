package org.knapweedcleat.router.forward.call;

/** The answers that the router gives itself. */
enum RouterResponse {
  /** The request cannot be understood. */
  MALFORMED(400, "malformed"),
  /** The key is missing or unknown. */
  UNKNOWN_KEY(401, "unknown_key"),
  /** No route leads anywhere. */
  NO_ROUTE(404, "no_route"),
  /** The client account has spent its quota; the call has not run. */
  OVER_QUOTA(429, "over_quota"),
  /** The call may have run, and its answer is lost. */
  FAILED(502, "failed"),
  /** The call has not run and can be tried again. */
  NOT_RUN(503, "not_run"),
  /** The time for the answer is over. */
  TIMED_OUT(504, "timed_out");

  private final int status;
  private final String label;

  RouterResponse(int status, String word) {
    this.status = status;
    this.label = word;
  }

  int status() {
    return status;
  }

  String label() {
    return label;
  }
}
