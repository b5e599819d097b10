package org.knapweedcleat.core.config.diff;

/** Why a change of the published document can hurt callers. */
public enum Danger {
  /** A client account gets less. */
  LIMIT_LOWERED("the client account gets fewer tokens; running callers are refused sooner"),
  /** A client account's share in a failure domain shrinks. */
  DOMAIN_SHARE_LOWERED("callers of the client account in that failure domain get fewer tokens"),
  /** A client account is gone. */
  ACCOUNT_REMOVED("every key of the client account stops working"),
  /** A key stops working. */
  KEY_REMOVED("callers with this key are refused and their running streams end"),
  /** A key's digest or account changes. */
  KEY_CHANGED("callers with the old key are refused, or now count as another client account"),
  /** An endpoint gets no new work. */
  ENDPOINT_LEAVING("the endpoint gets no new work; its pool is smaller"),
  /** An endpoint is gone. */
  ENDPOINT_REMOVED("work that still runs there may be cut; let it leave first"),
  /** An endpoint has another address, role, pool or failure domain. */
  ENDPOINT_MOVED("work that still runs at the old place may be cut"),
  /** An endpoint has less memory. */
  ENDPOINT_SHRUNK("the endpoint holds fewer requests at once"),
  /** A route is open to all. */
  ROUTE_OPENED("anybody can call the route, without a key and without a limit by account"),
  /** A route needs a key from now on. */
  ROUTE_CLOSED("callers without a key are refused"),
  /** A route is gone. */
  ROUTE_REMOVED("callers of the route are told that there is none"),
  /** A route leads elsewhere. */
  ROUTE_MOVED("callers of the old method or path are told that there is no route"),
  /** Calls of a route may be sent again. */
  SAFETY_LOOSENED("calls may be sent more than once; a side effect could happen twice"),
  /** A service is gone. */
  SERVICE_REMOVED("requests for the service find no route"),
  /** A service gives requests up earlier or queues fewer. */
  SERVICE_TIGHTENED("requests are given up earlier or refused sooner"),
  /** Keys are accepted longer without confirmation. */
  UNCONFIRMED_KEYS_LONGER("a cut-off failure domain accepts withdrawn keys for longer"),
  /** A pool is gone or works in another way. */
  POOL_CHANGED("the endpoints of the pool do other work"),
  /** An endpoint's check of fencing numbers is declared differently. */
  FENCING_CHANGED("orders to the endpoint are repeated and ordered differently"),
  /** The lay-out of regions, failure domains or links changes. */
  TOPOLOGY_CHANGED("transfers and shares are planned for other places"),
  /** The document belongs to another deployment. */
  DEPLOYMENT_CHANGED("this may be the document of another deployment");

  private final String consequence;

  Danger(String consequence) {
    this.consequence = consequence;
  }

  /**
   * Returns what can happen.
   *
   * @return a phrase for operators
   */
  public String consequence() {
    return consequence;
  }
}
