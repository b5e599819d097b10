package org.knapweedcleat.core.directory.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.RegionId;

/** Finds values of a configuration that contradict each other. */
public final class ContradictionFinder {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RoutingContent content;
  private final Set<RegionId> regions;
  private final List<Finding> findings = new ArrayList<>();

  private ContradictionFinder(RoutingContent content, Set<RegionId> regions) {
    this.content = content;
    this.regions = Set.copyOf(regions);
  }

  /**
   * Finds contradictions.
   *
   * @param content the configuration
   * @param regions the regions of the failure domains; empty if they are not known
   * @return the findings, in the order of the entries
   */
  public static List<Finding> find(RoutingContent content, Set<RegionId> regions) {
    ContradictionFinder finder = new ContradictionFinder(content, regions);
    finder.checkRoutes();
    finder.checkServices();
    finder.checkAccounts();
    finder.checkLimits(content.requestLimits());
    return List.copyOf(finder.findings);
  }

  private void checkRoutes() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < content.routes().size(); i++) {
      ForwardRoute route = content.routes().get(i);
      ConfigEntry entry = new ConfigEntry(ConfigSection.ROUTE, i, route.name());
      checkName(entry, names);
      checkTimes(entry, route);
      if (route.maxRuns() > 1 && !route.isRepeatable()) {
        add(
            FindingKind.RUNS_NOT_REPEATABLE,
            entry,
            ConfigField.MAX_RUNS,
            route.maxRuns() + " endpoints may run a call, but its calls may not run twice");
      }
      checkRegions(entry, route.allowedRegions());
    }
  }

  private void checkTimes(ConfigEntry entry, ForwardRoute route) {
    long timeoutMillis = route.timeoutMillis();
    if (timeoutMillis < 1) {
      add(FindingKind.NO_TIME, entry, ConfigField.TIMEOUT, timeoutMillis + " ms: no call succeeds");
    }
    if (route.targetMillis() > timeoutMillis) {
      add(
          FindingKind.TARGET_OVER_TIMEOUT,
          entry,
          ConfigField.TARGET,
          "the target of " + route.targetMillis() + " ms is over" + timeout(timeoutMillis));
    }
    if (route.maxGapMillis() > timeoutMillis) {
      add(
          FindingKind.GAP_OVER_TIMEOUT,
          entry,
          ConfigField.MAX_GAP,
          "the gap of " + route.maxGapMillis() + " ms is over" + timeout(timeoutMillis));
    }
  }

  private static String timeout(long millis) {
    return " the timeout of " + millis + " ms";
  }

  private void checkServices() {
    for (int i = 0; i < content.services().size(); i++) {
      ServiceProfile service = content.services().get(i);
      ConfigEntry entry = new ConfigEntry(ConfigSection.SERVICE, i, service.service().value());
      checkCapacity(entry, ConfigField.MAX_CONNECTIONS, service.maxConnections());
      if (!service.engine().equals(EngineProfile.NONE)) {
        checkCapacity(entry, ConfigField.ENGINE_SLOTS, service.engine().slots());
        checkCapacity(entry, ConfigField.ENGINE_MEMORY, service.engine().memoryTokens());
      }
    }
  }

  private void checkCapacity(ConfigEntry entry, ConfigField field, long value) {
    if (value < 1) {
      add(FindingKind.NO_CAPACITY, entry, field, value + ": its endpoints accept no call");
    }
  }

  private void checkAccounts() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < content.accounts().size(); i++) {
      AccountQuota account = content.accounts().get(i);
      ConfigEntry entry = new ConfigEntry(ConfigSection.ACCOUNT, i, account.account().value());
      checkName(entry, names);
      checkQuota(entry, account);
      checkRegions(entry, account.allowedRegions());
    }
  }

  private void checkQuota(ConfigEntry entry, AccountQuota account) {
    if (!account.isLimited()) {
      if (account.burst() > 0) {
        add(
            FindingKind.BURST_WITHOUT_RATE,
            entry,
            ConfigField.BURST,
            "without a positive rate, the account has no limit");
      }
      return;
    }
    if (account.burst() < account.defaultCallUnits()) {
      add(
          FindingKind.BURST_BELOW_CALL,
          entry,
          ConfigField.BURST,
          account.burst()
              + " units are less than the "
              + account.defaultCallUnits()
              + " of one call that does not state its usage");
    }
    checkRetryTime(entry, account);
  }

  /**
   * Compares the longest time after which a refused caller is told to return, that for a call
   * charged by default, with the longest timeout of the routes.
   */
  private void checkRetryTime(ConfigEntry entry, AccountQuota account) {
    long longestMillis =
        content.routes().stream().mapToLong(ForwardRoute::timeoutMillis).max().orElse(0);
    double units = Math.min(account.burst(), account.defaultCallUnits());
    long retryMillis = (long) Math.ceil(units * MILLIS_PER_SECOND / account.ratePerSecond());
    if (longestMillis > 0 && retryMillis > longestMillis) {
      add(
          FindingKind.RETRY_OVER_TIMEOUT,
          entry,
          ConfigField.RATE,
          "a call over the quota may return after up to "
              + retryMillis
              + " ms, over the longest timeout of "
              + longestMillis
              + " ms");
    }
  }

  private void checkLimits(RequestLimits limits) {
    checkLimit(ConfigField.MAX_HEADER_BYTES, limits.maxHeaderBytes(), 1);
    checkLimit(ConfigField.MAX_BODY_BYTES, limits.maxBodyBytes(), 0);
    checkLimit(ConfigField.HEADER_TIMEOUT, limits.headerTimeoutMillis(), 1);
    checkLimit(ConfigField.IDLE_TIMEOUT, limits.idleTimeoutMillis(), 1);
    if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
      add(
          FindingKind.HEADER_OVER_IDLE,
          ConfigEntry.LIMITS,
          ConfigField.HEADER_TIMEOUT,
          limits.headerTimeoutMillis()
              + " ms for a request head is over the "
              + limits.idleTimeoutMillis()
              + " ms that a connection may be idle");
    }
  }

  private void checkLimit(ConfigField field, long value, long min) {
    if (value < min) {
      add(FindingKind.LIMIT_ADMITS_NONE, ConfigEntry.LIMITS, field, value + " admits no request");
    }
  }

  private void checkName(ConfigEntry entry, Set<String> names) {
    if (!names.add(entry.name())) {
      add(
          FindingKind.REPEATED_NAME,
          entry,
          ConfigField.NAME,
          "another " + entry.section().displayName() + " has the same name");
    }
  }

  private void checkRegions(ConfigEntry entry, Set<RegionId> allowed) {
    if (regions.isEmpty()) {
      return;
    }
    allowed.stream()
        .filter(region -> !regions.contains(region))
        .sorted()
        .forEach(
            region ->
                add(
                    FindingKind.UNKNOWN_REGION,
                    entry,
                    ConfigField.ALLOWED_REGIONS,
                    "no failure domain is in region " + region));
  }

  private void add(FindingKind kind, ConfigEntry entry, ConfigField field, String text) {
    findings.add(new Finding(kind, entry, field, text));
  }
}
