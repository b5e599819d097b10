package org.knapweedcleat.core.directory.check;

/** The kinds of findings in a configuration. */
public enum FindingKind {
  /** The platform's parser rejects a value, and with it the whole configuration. */
  REJECTED_VALUE(FindingGroup.ERROR),
  /** The version number is not higher than that in force, so instances ignore the new version. */
  VERSION_NOT_HIGHER(FindingGroup.ERROR),

  /** A route has the host and path prefix of a route that precedes it. */
  COVERED_ROUTE(FindingGroup.NEVER_MATCHES),
  /** No request has the host or a path of the route. */
  IMPOSSIBLE_ROUTE(FindingGroup.NEVER_MATCHES),
  /** A route sends calls to a service that is not listed. */
  UNKNOWN_SERVICE(FindingGroup.NEVER_MATCHES),
  /** A route's share of a service is 0. */
  EMPTY_SHARE(FindingGroup.NEVER_MATCHES),
  /** A service is listed again, and the later entry is used. */
  REPEATED_SERVICE(FindingGroup.NEVER_MATCHES),
  /** A key belongs to two accounts, and the later one gets its calls. */
  SHARED_KEY(FindingGroup.NEVER_MATCHES),
  /** An account has no keys. */
  ACCOUNT_WITHOUT_KEYS(FindingGroup.NEVER_MATCHES),
  /** Calls need keys, but there are none. */
  NO_KEYS_AT_ALL(FindingGroup.NEVER_MATCHES),

  /** A timeout leaves no time for a call. */
  NO_TIME(FindingGroup.CONTRADICTION),
  /** A response may be late and still on time. */
  TARGET_OVER_TIMEOUT(FindingGroup.CONTRADICTION),
  /** A gap between events may last longer than the call. */
  GAP_OVER_TIMEOUT(FindingGroup.CONTRADICTION),
  /** A route allows several runs, but its calls may not be repeated. */
  RUNS_NOT_REPEATABLE(FindingGroup.CONTRADICTION),
  /** A service accepts no calls. */
  NO_CAPACITY(FindingGroup.CONTRADICTION),
  /** The quota of an account is below one call. */
  BURST_BELOW_CALL(FindingGroup.CONTRADICTION),
  /** An account has a burst but no rate, and thus no limit. */
  BURST_WITHOUT_RATE(FindingGroup.CONTRADICTION),
  /** A refused caller is told to return later than any call may take. */
  RETRY_OVER_TIMEOUT(FindingGroup.CONTRADICTION),
  /** A request head may take longer than its connection may be idle. */
  HEADER_OVER_IDLE(FindingGroup.CONTRADICTION),
  /** A limit on requests admits none. */
  LIMIT_ADMITS_NONE(FindingGroup.CONTRADICTION),
  /** A restriction names a region that no failure domain has. */
  UNKNOWN_REGION(FindingGroup.CONTRADICTION),
  /** Two routes or two accounts have the same name. */
  REPEATED_NAME(FindingGroup.CONTRADICTION),

  /** The platform's parser uses another value than the one written. */
  REPLACED_VALUE(FindingGroup.REPLACED);

  private final FindingGroup group;

  FindingKind(FindingGroup group) {
    this.group = group;
  }

  /**
   * Returns the group.
   *
   * @return the group
   */
  public FindingGroup group() {
    return group;
  }

  /**
   * Returns whether the configuration must not be published.
   *
   * @return false for warnings
   */
  public boolean isError() {
    return group == FindingGroup.ERROR;
  }
}
