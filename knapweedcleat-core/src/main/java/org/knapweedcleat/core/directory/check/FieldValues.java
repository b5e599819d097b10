package org.knapweedcleat.core.directory.check;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;

/** Formats the fields of entries for comparison; leaves out the keys of accounts. */
final class FieldValues {

  private static final int PERCENT = 100;

  private FieldValues() {}

  static Map<ConfigField, String> of(RoutingContent content) {
    Map<ConfigField, String> values = new EnumMap<>(ConfigField.class);
    values.put(ConfigField.VERSION, Long.toString(content.version()));
    values.put(ConfigField.ACCOUNTS, content.requiresKeys() ? "calls need keys" : "no keys needed");
    return values;
  }

  static Map<ConfigField, String> of(ForwardRoute route) {
    Map<ConfigField, String> values = new EnumMap<>(ConfigField.class);
    values.put(ConfigField.HOST, route.host());
    values.put(ConfigField.PATH_PREFIX, route.pathPrefix());
    values.put(ConfigField.CALL_KIND, route.kind().name().toLowerCase(Locale.ROOT));
    values.put(ConfigField.RESUMABLE, Boolean.toString(route.resumable()));
    values.put(ConfigField.OPEN, Boolean.toString(route.open()));
    values.put(ConfigField.TIMEOUT, millis(route.timeoutMillis()));
    values.put(ConfigField.TARGET, millis(route.targetMillis()));
    values.put(ConfigField.MAX_GAP, millis(route.maxGapMillis()));
    values.put(ConfigField.MAX_RUNS, Integer.toString(route.maxRuns()));
    values.put(ConfigField.PRIORITY, Integer.toString(route.priority()));
    values.put(ConfigField.SHARES, shares(route));
    values.put(ConfigField.ALLOWED_REGIONS, regions(route.allowedRegions()));
    return values;
  }

  static Map<ConfigField, String> of(ServiceProfile service) {
    Map<ConfigField, String> values = new EnumMap<>(ConfigField.class);
    int connections = service.maxConnections();
    values.put(
        ConfigField.MAX_CONNECTIONS,
        connections == Integer.MAX_VALUE ? "no limit" : Integer.toString(connections));
    values.put(ConfigField.ENGINE_SLOTS, Integer.toString(service.engine().slots()));
    values.put(ConfigField.ENGINE_MEMORY, Long.toString(service.engine().memoryTokens()));
    values.put(ConfigField.PREFILL_RETENTION, millis(service.engine().prefillRetentionMillis()));
    values.put(ConfigField.TOKENS_PER_EVENT, Integer.toString(service.engine().tokensPerEvent()));
    values.put(ConfigField.COLD_RATE, service.coldPerSecond() + " per s");
    values.put(ConfigField.COLD_START, millis(service.coldStartMillis()));
    return values;
  }

  static Map<ConfigField, String> of(AccountQuota account) {
    Map<ConfigField, String> values = new EnumMap<>(ConfigField.class);
    values.put(
        ConfigField.PRIORITY,
        account.priority() == AccountQuota.ROUTE_PRIORITY
            ? "that of the route"
            : Integer.toString(account.priority()));
    values.put(
        ConfigField.RATE, account.isLimited() ? account.ratePerSecond() + " per s" : "no limit");
    values.put(ConfigField.BURST, Double.toString(account.burst()));
    values.put(ConfigField.DEFAULT_CALL_UNITS, Long.toString(account.defaultCallUnits()));
    values.put(ConfigField.ALLOWED_REGIONS, regions(account.allowedRegions()));
    return values;
  }

  static Map<ConfigField, String> of(RequestLimits limits) {
    Map<ConfigField, String> values = new EnumMap<>(ConfigField.class);
    values.put(ConfigField.MAX_HEADER_BYTES, Integer.toString(limits.maxHeaderBytes()));
    values.put(ConfigField.MAX_BODY_BYTES, Integer.toString(limits.maxBodyBytes()));
    values.put(ConfigField.HEADER_TIMEOUT, millis(limits.headerTimeoutMillis()));
    values.put(ConfigField.IDLE_TIMEOUT, millis(limits.idleTimeoutMillis()));
    return values;
  }

  private static String millis(long value) {
    return value + " ms";
  }

  private static String shares(ForwardRoute route) {
    long total = route.shares().stream().mapToLong(share -> share.weight()).sum();
    return route.shares().stream()
        .map(share -> share.service() + " " + percent(share.weight(), total))
        .collect(Collectors.joining(", "));
  }

  /** Returns a part, since weights are relative and platforms scale them. */
  private static String percent(long weight, long total) {
    double part = total == 0 ? 0 : (double) PERCENT * weight / total;
    return String.format(Locale.ROOT, "%.2f %%", part);
  }

  private static String regions(Collection<?> regions) {
    return regions.isEmpty()
        ? "any"
        : regions.stream().map(Object::toString).sorted().collect(Collectors.joining(", "));
  }
}
