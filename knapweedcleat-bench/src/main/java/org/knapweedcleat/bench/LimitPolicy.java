package org.knapweedcleat.bench;

/** How the limits of the client accounts are applied. */
enum LimitPolicy {
  SHARES_AND_DOMAIN_DRAWS("share leases, domain draws"),
  SHARES("share leases, no domain draws"),
  FIXED_PARTS("fixed 1/N");

  private final String title;

  LimitPolicy(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }
}
