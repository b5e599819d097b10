package org.knapweedcleat.bench;

/** How the limits of the client accounts are applied. */
enum RateLimitPolicy {
  SHARES_AND_DOMAIN_DRAWS("share leases, domain draws"),
  SHARES("share leases, no domain draws"),
  FIXED_PARTS("fixed 1/N");

  private final String displayName;

  RateLimitPolicy(String title) {
    this.displayName = title;
  }

  String displayName() {
    return displayName;
  }
}
