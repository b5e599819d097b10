package org.knapweedcleat.core.config.diff;

/** The risks to callers that a change of the published document can bring. */
public enum Danger {
  /** The rate, burst or weight of a client account is reduced. */
  LIMIT_LOWERED("the client account gets fewer tokens; running callers are refused sooner"),
  /** The share of a client account in a failure domain is reduced. */
  DOMAIN_SHARE_LOWERED("the client account gets fewer tokens in that failure domain"),
  /** A client account is removed. */
  ACCOUNT_REMOVED("every key of the client account stops working"),
  /** An API key is removed. */
  KEY_REMOVED("callers with this key are refused and their running streams end"),
  /** The digest or client account of an API key changes. */
  KEY_CHANGED("callers with the old key are refused, or are charged to another client account"),
  /** An endpoint stops accepting new work. */
  ENDPOINT_LEAVING("the endpoint gets no new work; its pool has less capacity"),
  /** An endpoint is removed. */
  ENDPOINT_REMOVED("requests still running there may be cut off; set its state to leaving first"),
  /** The address, role, pool or failure domain of an endpoint changes. */
  ENDPOINT_MOVED("requests still running at the old location may be cut off"),
  /** The memory of an endpoint is reduced. */
  ENDPOINT_SHRUNK("the endpoint handles fewer concurrent requests"),
  /** A route no longer requires an API key. */
  ROUTE_OPENED("anyone can call the route, without a key and without an account limit"),
  /** A route starts to require an API key. */
  ROUTE_CLOSED("callers without a key are refused"),
  /** A route is removed. */
  ROUTE_REMOVED("callers get the answer that the route does not exist"),
  /** The method, path or service of a route changes. */
  ROUTE_MOVED("callers of the old method or path get the answer that no route exists"),
  /** Calls on a route become eligible for retries. */
  SAFETY_LOOSENED("calls may be sent more than once, which may repeat side effects"),
  /** A service is removed. */
  SERVICE_REMOVED("requests for the service have no route"),
  /** The deadline, queue limit or priority of a service is reduced. */
  SERVICE_TIGHTENED("requests time out or are refused sooner"),
  /** API keys are accepted for longer without confirmation. */
  UNCONFIRMED_KEYS_LONGER("an isolated failure domain accepts withdrawn keys for longer"),
  /** A pool is removed, its kind or model changes, or a service uses another pool. */
  POOL_CHANGED("the endpoints serve other work"),
  /** Whether an endpoint checks fencing numbers changes. */
  FENCING_CHANGED("orders to the endpoint are repeated and sequenced differently"),
  /** A region, failure domain or link is removed or changed. */
  TOPOLOGY_CHANGED("transfers and shares are planned for a different topology"),
  /** The document belongs to another deployment. */
  DEPLOYMENT_CHANGED("this may be the document of another deployment");

  private final String consequence;

  Danger(String consequence) {
    this.consequence = consequence;
  }

  /**
   * Describes the possible consequence.
   *
   * @return a phrase for operators
   */
  public String consequence() {
    return consequence;
  }
}
