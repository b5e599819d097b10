package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;

/** The keys of a forwarding instance's settings. */
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
          "the instance's name, different from that of all others");
  static final SettingKey<FailureDomainId> DOMAIN =
      SettingKey.required(
          SectionKind.FORWARDER,
          "domain",
          ValueRules.name().map(FailureDomainId::of),
          "",
          "the failure domain it stands in");
  static final SettingKey<InetAddressPort> CALLERS =
      address(SectionKind.FORWARDER, "callerAddress", "where it listens for callers");
  static final SettingKey<InetAddressPort> READINESS =
      address(SectionKind.FORWARDER, "readinessAddress", "where it tells whether it is ready");
  static final SettingKey<InetAddressPort> PEERS =
      address(SectionKind.FORWARDER, "peerAddress", "where it listens for other instances");
  static final SettingKey<InetAddressPort> METRICS =
      address(SectionKind.FORWARDER, "metricsAddress", "where it serves its metrics");

  static final SettingKey<List<InetAddressPort>> SEEDS =
      SettingKey.optional(
          SectionKind.DISCOVERY,
          "seeds",
          ValueRules.socketAddresses(),
          "",
          "",
          "where other instances may be found at first");
  static final SettingKey<InetAddressPort> STORE =
      address(
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
          "the time between messages to each other instance in a small fleet");

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
          "repeats that each call of a service allows");
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
          ValueRules.intRange(0, 1_000_000),
          "repeats",
          "20",
          "repeats that the fleet may send in a window besides");

  static final SettingKey<Double> QUOTA_OVERAGE =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "quotaOverage",
          ValueRules.decimal(0, 10),
          "of rate and burst",
          "0",
          "by how much the fleet may exceed a quota");
  static final SettingKey<Integer> QUOTA_SLACK =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "quotaSlackUnits",
          ValueRules.intRange(0, 1_000_000_000),
          "units of the quota",
          "0",
          "what the fleet may spend of a quota besides");
  static final SettingKey<Double> PREFILL_PART =
      SettingKey.optional(
          SectionKind.BOUNDS,
          "prefillPart",
          ValueRules.decimal(0.01, 0.99),
          "of the engines",
          "0.27",
          "the part of a service's engines that read prompts for others; by default the part that"
              + " prompts of 3,000 tokens need beside answers of 900");

  static final SettingKey<RegionId> REGION =
      SettingKey.required(
          SectionKind.FORWARDER_DOMAIN,
          "region",
          ValueRules.name().map(RegionId::of),
          "",
          "the region it lies in");

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
          REGION);

  private ForwarderSettingKeys() {}

  /**
   * Lists every key of a forwarding instance's settings.
   *
   * @return the keys, those of a section together
   */
  public static List<SettingKey<?>> all() {
    return ALL;
  }

  /** Returns the rule for seconds that are kept as milliseconds. */
  private static ValueRule<Integer> seconds(double lowest, double highest) {
    return ValueRules.decimal(lowest, highest)
        .map(number -> (int) Math.round(number * SECOND_MILLIS));
  }

  private static SettingKey<InetAddressPort> address(
      SectionKind section, String name, String meaning) {
    return SettingKey.required(section, name, ValueRules.socketAddress(), "", meaning);
  }
}
