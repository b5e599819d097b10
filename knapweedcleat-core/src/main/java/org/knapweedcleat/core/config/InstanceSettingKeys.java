package org.knapweedcleat.core.config;

import static org.knapweedcleat.core.config.SettingKey.optional;
import static org.knapweedcleat.core.config.SettingKey.required;

import io.vavr.collection.List;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;

/** The setting keys of an instance. */
public final class InstanceSettingKeys {

  private static final int HOUR_MILLIS = 3_600_000;
  private static final int WATCH_MARGIN_MILLIS = 1_000;
  private static final int MAX_WATCH_WAIT_MILLIS =
      DocumentSettingKeys.MIN_UNCONFIRMED_KEY_MILLIS - WATCH_MARGIN_MILLIS;
  private static final String MILLIS = "milliseconds";
  private static final String BYTES = "bytes";

  private static final int MAX_PORT = 65_535;

  static final SettingKey<InstanceId> ID =
      required(
          SectionKind.INSTANCE,
          "id",
          ValueRules.name().map(InstanceId::of),
          "",
          "the instance's name, the same as in the platform's list");
  static final SettingKey<FailureDomainId> DOMAIN =
      required(
          SectionKind.INSTANCE,
          "domain",
          ValueRules.name().map(FailureDomainId::of),
          "",
          "the failure domain it stands in");
  static final SettingKey<String> HOST =
      required(
          SectionKind.INSTANCE, "host", ValueRules.ipAddress(), "", "the IP number it listens on");
  static final SettingKey<Integer> CALLER_PORT =
      optional(SectionKind.INSTANCE, "callerPort", ValueRules.port(), "", "8080", "for callers");
  static final SettingKey<Integer> OPERATOR_PORT =
      optional(
          SectionKind.INSTANCE,
          "operatorPort",
          ValueRules.port(),
          "",
          "8081",
          "for operators; has to be reachable by operators only");
  static final SettingKey<Integer> PEER_PORT =
      optional(
          SectionKind.INSTANCE, "peerPort", ValueRules.port(), "", "8082", "for other instances");

  static final SettingKey<Integer> LISTED_PEER_PORT =
      optional(
          SectionKind.INSTANCE,
          "listedPeerPort",
          ValueRules.intRange(0, MAX_PORT),
          "",
          "0",
          "the port for other instances in the platform's list; 0 for the same as peerPort");

  static final SettingKey<String> PLATFORM_HOST =
      required(
          SectionKind.PLATFORM,
          "host",
          ValueRules.ipAddress(),
          "",
          "the IP number of the configuration service");
  static final SettingKey<Integer> PLATFORM_PORT =
      required(
          SectionKind.PLATFORM,
          "port",
          ValueRules.port(),
          "",
          "the TCP port of the configuration service");
  static final SettingKey<String> PLATFORM_DOCUMENT =
      optional(
          SectionKind.PLATFORM,
          "document",
          ValueRules.name(),
          "",
          "fleet",
          "the name of the value that holds the published document");
  static final SettingKey<Integer> PLATFORM_WAIT =
      optional(
          SectionKind.PLATFORM,
          "watchWaitMillis",
          ValueRules.intRange(100, MAX_WATCH_WAIT_MILLIS),
          MILLIS,
          "2000",
          "how long one watch waits for something newer");

  static final SettingKey<Integer> MAX_BODY =
      optional(
          SectionKind.LIMITS,
          "maxBodyBytes",
          ValueRules.intRange(1_024, 1_073_741_824),
          BYTES,
          "1048576",
          "the longest body of a caller's request");
  static final SettingKey<Integer> MAX_HEADER =
      optional(
          SectionKind.LIMITS,
          "maxHeaderBytes",
          ValueRules.intRange(1_024, 1_048_576),
          BYTES,
          "16384",
          "the longest headers of a caller's request");
  static final SettingKey<Integer> MAX_IN_FLIGHT =
      optional(
          SectionKind.LIMITS,
          "maxInFlight",
          ValueRules.intRange(1, 1_000_000),
          "requests",
          "20000",
          "how many requests the instance holds at once");
  static final SettingKey<Integer> DRAIN_TIMEOUT =
      optional(
          SectionKind.LIMITS,
          "drainTimeoutMillis",
          ValueRules.intRange(0, HOUR_MILLIS),
          MILLIS,
          "300000",
          "how long a planned stop waits for running requests");

  static final SettingKey<Integer> HEARTBEAT =
      optional(
          SectionKind.PEERS,
          "heartbeatMillis",
          ValueRules.intRange(10, 60_000),
          MILLIS,
          "250",
          "the time between heartbeats");
  static final SettingKey<Integer> HEARTBEAT_TIMEOUT =
      optional(
          SectionKind.PEERS,
          "heartbeatTimeoutMillis",
          ValueRules.intRange(20, 600_000),
          MILLIS,
          "1000",
          "an instance that was silent this long counts as gone");
  static final SettingKey<Integer> LEASE =
      optional(
          SectionKind.PEERS,
          "leaseMillis",
          ValueRules.intRange(20, 600_000),
          MILLIS,
          "2000",
          "how long a share of a client account's rate is lent");
  static final SettingKey<Integer> LIST_LAG =
      optional(
          SectionKind.PEERS,
          "listLagMillis",
          ValueRules.intRange(0, 600_000),
          MILLIS,
          "5000",
          "how late the platform's list of instances can be");

  static final SettingKey<Integer> CHECK_CONNECTIONS =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "checkConnections",
          ValueRules.intRange(1, 100_000),
          "connections",
          "256",
          "how many connections each listener for operators and checks accepts");
  static final SettingKey<Integer> PEER_CONNECTIONS =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "peerConnections",
          ValueRules.intRange(1, 100_000),
          "connections",
          "4096",
          "how many connections from other instances are accepted");
  static final SettingKey<Integer> HEADER_LINES =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "maxHeaderLines",
          ValueRules.intRange(16, 100_000),
          "lines",
          "256",
          "the most header lines, or trailer lines, of a request");
  static final SettingKey<Integer> LISTENER_MEMORY =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "memoryKilobytes",
          ValueRules.intRange(0, 1_000_000_000),
          "kilobytes",
          "0",
          "the heap that the clients of a listener may hold; 0 for an eighth of it");
  static final SettingKey<Integer> REQUEST_TIME =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "requestMillis",
          ValueRules.intRange(100, 3_600_000),
          MILLIS,
          "30000",
          "the time for a head, and for each further kilobyte of a body or response");
  static final SettingKey<Integer> CALLER_CONNECTIONS =
      optional(
          SectionKind.INSTANCE_LISTENERS,
          "callerConnections",
          ValueRules.intRange(1, 1_000_000),
          "connections",
          "20000",
          "how many connections from callers are accepted");

  private static final List<SettingKey<?>> ALL =
      List.<SettingKey<?>>of(
              ID, DOMAIN, HOST, CALLER_PORT, OPERATOR_PORT, PEER_PORT, LISTED_PEER_PORT)
          .appendAll(List.of(PLATFORM_HOST, PLATFORM_PORT, PLATFORM_DOCUMENT, PLATFORM_WAIT))
          .appendAll(List.of(MAX_BODY, MAX_HEADER, MAX_IN_FLIGHT, DRAIN_TIMEOUT))
          .appendAll(List.of(HEARTBEAT, HEARTBEAT_TIMEOUT, LEASE, LIST_LAG))
          .appendAll(List.of(CALLER_CONNECTIONS, CHECK_CONNECTIONS, PEER_CONNECTIONS))
          .appendAll(List.of(HEADER_LINES, LISTENER_MEMORY, REQUEST_TIME));

  private InstanceSettingKeys() {}

  /**
   * Lists all setting keys of an instance.
   *
   * @return the keys, grouped by section
   */
  public static List<SettingKey<?>> all() {
    return ALL;
  }
}
