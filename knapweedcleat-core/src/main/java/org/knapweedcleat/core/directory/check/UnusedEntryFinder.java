package org.knapweedcleat.core.directory.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Finds entries that are never used, by the rules of {@link
 * org.knapweedcleat.core.directory.RoutingConfig}: a call takes the longest matching path prefix of
 * its host, of equal ones the first that is listed; of services with the same name and of accounts
 * with the same key, the last one listed is used.
 */
public final class UnusedEntryFinder {

  private final RoutingContent content;
  private final List<Finding> findings = new ArrayList<>();

  private UnusedEntryFinder(RoutingContent content) {
    this.content = content;
  }

  /**
   * Finds entries that are never used.
   *
   * @param content the configuration
   * @return the findings, in the order of the entries
   */
  public static List<Finding> find(RoutingContent content) {
    UnusedEntryFinder finder = new UnusedEntryFinder(content);
    finder.checkRoutes();
    finder.checkServices();
    finder.checkAccounts();
    return List.copyOf(finder.findings);
  }

  private void checkRoutes() {
    Set<ServiceId> services =
        content.services().stream().map(ServiceProfile::service).collect(Collectors.toSet());
    Map<List<String>, ForwardRoute> first = new HashMap<>();
    for (int i = 0; i < content.routes().size(); i++) {
      ForwardRoute route = content.routes().get(i);
      ConfigEntry entry = new ConfigEntry(ConfigSection.ROUTE, i, route.name());
      checkReach(entry, route);
      ForwardRoute preceding = first.putIfAbsent(List.of(route.host(), route.pathPrefix()), route);
      if (preceding != null) {
        add(
            FindingKind.COVERED_ROUTE,
            entry,
            ConfigField.PATH_PREFIX,
            "route " + preceding.name() + " precedes it with the same host and path prefix");
      }
      checkShares(entry, route, services);
    }
  }

  /** Checks against the form in which calls have their host and path when routes are matched. */
  private void checkReach(ConfigEntry entry, ForwardRoute route) {
    if (!route.host().equals(route.host().toLowerCase(Locale.ROOT))
        || route.host().matches(".*:\\d+")) {
      add(
          FindingKind.IMPOSSIBLE_ROUTE,
          entry,
          ConfigField.HOST,
          "hosts of calls are compared in lower case and without a port");
    }
    if (!route.pathPrefix().startsWith("/") || route.pathPrefix().matches("(?s).*[?\\s].*")) {
      add(
          FindingKind.IMPOSSIBLE_ROUTE,
          entry,
          ConfigField.PATH_PREFIX,
          "paths of calls start with a slash and contain neither a query nor white space");
    }
  }

  private void checkShares(ConfigEntry entry, ForwardRoute route, Set<ServiceId> services) {
    boolean hasWeight = route.shares().stream().anyMatch(share -> share.weight() > 0);
    for (ServiceShare share : route.shares()) {
      if (!services.contains(share.service())) {
        add(
            FindingKind.UNKNOWN_SERVICE,
            entry,
            ConfigField.SHARES,
            "service " + share.service() + " is not listed");
      }
      if (share.weight() <= 0) {
        add(
            FindingKind.EMPTY_SHARE,
            entry,
            ConfigField.SHARES,
            "service " + share.service() + " has no part of the calls" + hint(hasWeight));
      }
    }
  }

  private static String hint(boolean hasWeight) {
    return hasWeight ? "" : "; nor has any other, so that the first one gets all calls";
  }

  private void checkServices() {
    Map<ServiceId, Integer> last = new HashMap<>();
    for (int i = 0; i < content.services().size(); i++) {
      last.put(content.services().get(i).service(), i);
    }
    for (int i = 0; i < content.services().size(); i++) {
      ServiceId service = content.services().get(i).service();
      if (last.get(service) != i) {
        add(
            FindingKind.REPEATED_SERVICE,
            new ConfigEntry(ConfigSection.SERVICE, i, service.value()),
            ConfigField.NAME,
            "the service is listed again, and the later entry is used");
      }
    }
  }

  private void checkAccounts() {
    Map<KeyDigest, Integer> owners = new HashMap<>();
    for (int i = 0; i < content.accounts().size(); i++) {
      int index = i;
      content.accounts().get(i).keys().forEach(key -> owners.put(key, index));
    }
    for (int i = 0; i < content.accounts().size(); i++) {
      checkKeys(i, content.accounts().get(i), owners);
    }
    if (content.requiresKeys() && owners.isEmpty()) {
      checkClosedRoutes();
    }
  }

  private void checkKeys(int index, AccountQuota account, Map<KeyDigest, Integer> owners) {
    ConfigEntry entry = new ConfigEntry(ConfigSection.ACCOUNT, index, account.account().value());
    if (account.keys().isEmpty()) {
      add(FindingKind.ACCOUNT_WITHOUT_KEYS, entry, ConfigField.KEYS, "no key selects the account");
    }
    Map<Integer, Long> keysByOwner =
        account.keys().stream()
            .map(owners::get)
            .filter(owner -> owner != index)
            .collect(Collectors.groupingBy(owner -> owner, Collectors.counting()));
    new TreeMap<>(keysByOwner)
        .forEach(
            (owner, keys) ->
                add(
                    FindingKind.SHARED_KEY,
                    entry,
                    ConfigField.KEYS,
                    keys
                        + " of its "
                        + account.keys().size()
                        + " keys also belong to account "
                        + content.accounts().get(owner).account()
                        + ", which is listed later and gets their calls"));
  }

  private void checkClosedRoutes() {
    Set<String> closed = new HashSet<>();
    content.routes().stream()
        .filter(route -> !route.open())
        .forEach(route -> closed.add(route.name()));
    if (!closed.isEmpty()) {
      add(
          FindingKind.NO_KEYS_AT_ALL,
          ConfigEntry.CONFIGURATION,
          ConfigField.ACCOUNTS,
          closed.size() + " routes need a key, but no account has one");
    }
  }

  private void add(FindingKind kind, ConfigEntry entry, ConfigField field, String text) {
    findings.add(new Finding(kind, entry, field, text));
  }
}
