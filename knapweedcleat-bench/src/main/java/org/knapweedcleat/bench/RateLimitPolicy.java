package org.knapweedcleat.bench;

/** A way to enforce the rate limits of the client accounts across instances. */
enum RateLimitPolicy {
  /** Leased shares in each failure domain; a denied request draws on other domains. */
  SHARES_AND_DOMAIN_DRAWS("share leases, domain draws"),
  /** Leased shares in the local failure domain only. */
  SHARES("share leases, no domain draws"),
  /** Limits divided evenly among the instances. */
  FIXED_PARTS("fixed 1/N");

  private final String displayName;

  RateLimitPolicy(String title) {
    this.displayName = title;
  }

  String displayName() {
    return displayName;
  }
}
