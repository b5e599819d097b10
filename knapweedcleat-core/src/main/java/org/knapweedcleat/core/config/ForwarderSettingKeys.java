package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;

/** The setting keys of a forwarding instance. */
public final class ForwarderSettingKeys {

  private static final String MILLIS = "milliseconds";
  private static final String SECONDS = "seconds";
  private static final double SECOND_MILLIS = 1_000;

  static final SettingKey<InstanceId> ID =
      SettingKey.required(
          SectionKind.FORWARDER,
          "id",
          ValueRules.name().map(InstanceId::of),
          "",
          "the instance's name, unique in the fleet");
  static final SettingKey<FailureDomainId> DOMAIN =
      SettingKey.required(
          SectionKind.FORWARDER,
          "domain",
          ValueRules.name().map(FailureDomainId::of),
          "",
          "the failure domain in which it runs");
  static final SettingKey<InetAddressPort> CALLERS =
      requiredAddress(SectionKind.FORWARDER, "callerAddress", "where it listens for callers");
  static final SettingKey<InetAddressPort> READINESS =
      requiredAddress(
          SectionKind.FORWARDER, "readinessAddress", "where it answers readiness checks");
  static final SettingKey<InetAddressPort> PEERS =
      requiredAddress(SectionKind.FORWARDER, "peerAddress", "where it listens for other instances");
  static final SettingKey<InetAddressPort> METRICS =
      requiredAddress(SectionKind.FORWARDER, "metricsAddress", "where it serves its metrics");

  static final SettingKey<List<InetAddressPort>> SEEDS =
      SettingKey.optional(
          SectionKind.DISCOVERY,
          "seeds",
          ValueRules.socketAddresses(),
          "",
          "",
          "addresses of other instances to contact at startup");
  static final SettingKey<InetAddressPort> STORE =
      requiredAddress(
          SectionKind.DISCOVERY,
          "storeAddress",
          "where the configuration and the endpoints are published");
  static final SettingKey<Integer> GOSSIP =
      SettingKey.optional(
          SectionKind.DISCOVERY,
          "gossipMillis",
          ValueRules.intRange(20, 60_000),
          MILLIS,
          "200",
          "the interval between messages to each other instance in a small fleet");

  static final SettingKey<Integer> STOP =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "stopSeconds",
          seconds(0.1, 3_600),
          SECONDS,
          "8",
          "how long a planned stop may take");
  static final SettingKey<Double> REPEAT_RATIO =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "repeatRatio",
          ValueRules.decimal(0, 10),
          "repeats a call",
          "0.2",
          "how many repeats each call of a service adds to the budget");
  static final SettingKey<Integer> REPEAT_WINDOW =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "repeatWindowSeconds",
          seconds(0.1, 3_600),
          SECONDS,
          "10",
          "the window in which repeats are counted");
  static final SettingKey<Integer> REPEAT_SLACK =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "repeatSlack",
          wholePart(0, 1_000_000),
          "repeats",
          "20",
          "how many more repeats the fleet may send in a window");

  static final SettingKey<Double> QUOTA_OVERAGE =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "quotaOverage",
          ValueRules.decimal(0, 10),
          "of rate and burst",
          "0",
          "the fraction by which the fleet may exceed a quota");
  static final SettingKey<Integer> QUOTA_SLACK =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "quotaSlackUnits",
          wholePart(0, 1_000_000_000),
          "units of the quota",
          "0",
          "how much more of a quota the fleet may spend");
  static final SettingKey<Double> PREFILL_PART =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "prefillPart",
          ValueRules.decimal(0.01, 0.99),
          "of the engines",
          "0.27",
          "the fraction of a service's engines that prefill for others; the default suits"
              + " prompts of 3,000 tokens with answers of 900 tokens");

  static final SettingKey<Integer> CONFIG_APPLY =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "configApplyMillis",
          wholePart(500, 3_600_000),
          MILLIS,
          "3000",
          "the time within which a published configuration has to be in force");

  static final SettingKey<Double> COLD_OVERAGE =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "coldOverage",
          ValueRules.decimal(0, 100),
          "times the service's cold rate",
          Double.toString(ForwarderSettings.Bounds.DEFAULT_COLD_OVERAGE),
          "the multiple of its service's cold rate that a cold endpoint tolerates in a second");
  static final SettingKey<Double> COLD_SLACK =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "coldSlack",
          ValueRules.decimal(0, 1_000_000),
          "requests",
          Double.toString(ForwarderSettings.Bounds.DEFAULT_COLD_SLACK),
          "how many more requests a cold endpoint tolerates in a second");
  static final SettingKey<Integer> INTER_DOMAIN_COST =
      SettingKey.optional(
          SectionKind.LOCALITY,
          "interDomainCostMillis",
          ValueRules.intRange(0, 60_000),
          MILLIS,
          "0",
          "the wait that is accepted for keeping one call in its failure domain; 0 to send calls"
              + " regardless of domains");
  static final SettingKey<Integer> INTER_REGION_RATE =
      SettingKey.optional(
          SectionKind.LOCALITY,
          "interRegionKilobitsPerSecond",
          ValueRules.intRange(0, 100_000_000),
          "kilobits a second",
          "0",
          "the rate between two regions, which all instances of a region share; 0 for no limit");
  static final SettingKey<Integer> CHECK_CONNECTIONS =
      SettingKey.optional(
          SectionKind.FORWARDER_LISTENERS,
          "checkConnections",
          ValueRules.intRange(1, 100_000),
          "connections",
          "256",
          "how many connections each listener for operators and checks accepts");
  static final SettingKey<Integer> PEER_CONNECTIONS =
      SettingKey.optional(
          SectionKind.FORWARDER_LISTENERS,
          "peerConnections",
          ValueRules.intRange(1, 100_000),
          "connections",
          "1024",
          "how many connections from other instances are accepted");
  static final SettingKey<Integer> HEADER_LINES =
      SettingKey.optional(
          SectionKind.FORWARDER_LISTENERS,
          "maxHeaderLines",
          ValueRules.intRange(16, 100_000),
          "lines",
          "256",
          "the most header lines, or trailer lines, of a request");
  static final SettingKey<Integer> LISTENER_MEMORY =
      SettingKey.optional(
          SectionKind.FORWARDER_LISTENERS,
          "memoryKilobytes",
          ValueRules.intRange(0, 1_000_000_000),
          "kilobytes",
          "0",
          "the heap that the clients of a listener may hold; 0 for an eighth of it");
  static final SettingKey<Integer> REQUEST_TIME =
      SettingKey.optional(
          SectionKind.FORWARDER_LISTENERS,
          "requestMillis",
          ValueRules.intRange(100, 3_600_000),
          MILLIS,
          "30000",
          "the time for a head, and for each further kilobyte of a body or response");

  static final SettingKey<RegionId> REGION =
      SettingKey.required(
          SectionKind.FORWARDER_DOMAIN,
          "region",
          ValueRules.name().map(RegionId::of),
          "",
          "the region it belongs to");

  private static final List<SettingKey<?>> ALL =
      List.of(
              ID,
              DOMAIN,
              CALLERS,
              READINESS,
              PEERS,
              METRICS,
              SEEDS,
              STORE,
              GOSSIP,
              STOP,
              REPEAT_RATIO,
              REPEAT_WINDOW,
              REPEAT_SLACK,
              QUOTA_OVERAGE,
              QUOTA_SLACK,
              PREFILL_PART,
              CONFIG_APPLY,
              COLD_OVERAGE,
              COLD_SLACK,
              INTER_DOMAIN_COST,
              INTER_REGION_RATE)
          .appendAll(CallerSettingKeys.all())
          .appendAll(
              List.of(
                  CHECK_CONNECTIONS, PEER_CONNECTIONS, HEADER_LINES, LISTENER_MEMORY, REQUEST_TIME))
          .append(REGION);

  private ForwarderSettingKeys() {}

  /**
   * Lists all setting keys of a forwarding instance.
   *
   * @return the keys, grouped by section
   */
  public static List<SettingKey<?>> all() {
    return ALL;
  }

  /** Returns a rule for settings in seconds that are converted to milliseconds. */
  private static ValueRule<Integer> seconds(double min, double max) {
    return ValueRules.decimal(min, max).map(seconds -> (int) Math.round(seconds * SECOND_MILLIS));
  }

  /** Returns a rule for bounds that may be fractions, of which only the whole part is used. */
  private static ValueRule<Integer> wholePart(int min, int max) {
    return ValueRules.decimal(min, max).map(Double::intValue);
  }

  private static SettingKey<InetAddressPort> requiredAddress(
      SectionKind section, String name, String description) {
    return SettingKey.required(section, name, ValueRules.socketAddress(), "", description);
  }
}
