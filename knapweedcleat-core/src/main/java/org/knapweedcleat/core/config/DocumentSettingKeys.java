package org.knapweedcleat.core.config;

import static org.knapweedcleat.core.config.SettingKey.optional;
import static org.knapweedcleat.core.config.SettingKey.reference;
import static org.knapweedcleat.core.config.SettingKey.required;

import io.vavr.collection.List;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/** The setting keys of the published document. */
public final class DocumentSettingKeys {

  /** Prefix of the keys that hold the weight of a failure domain. */
  public static final String DOMAIN_WEIGHT_PREFIX = "domainWeight.";

  /**
   * The shortest time for which API keys can be accepted without confirmation. It exceeds the
   * longest watch request, because the document is only confirmed when a watch request ends.
   */
  static final int MIN_UNCONFIRMED_KEY_MILLIS = 5_000;

  private static final int DAY_MILLIS = 86_400_000;
  private static final int MINUTE_MILLIS = 60_000;
  private static final String MILLIS = "milliseconds";

  /** The key {@code team}, which every kind of section has. */
  private static final List<SettingKey<TeamId>> TEAM_KEYS =
      SectionKind.in(SettingsFileType.DOCUMENT)
          .map(
              kind ->
                  required(
                      kind,
                      "team",
                      ValueRules.name().map(TeamId::of),
                      "",
                      "the team that owns the section"));

  static final SettingKey<RegionId> DOMAIN_REGION =
      reference(
          SectionKind.DOMAIN,
          "region",
          ValueRules.name().map(RegionId::of),
          SectionKind.REGION,
          "the region it lies in");

  static final SettingKey<Integer> LINK_RATE =
      required(
          SectionKind.LINK,
          "rateKilobitsPerSecond",
          ValueRules.intRange(1, 100_000_000),
          "kilobits a second",
          "the rate each way");
  static final SettingKey<Integer> LINK_DELAY =
      required(
          SectionKind.LINK,
          "delayMillis",
          ValueRules.intRange(0, MINUTE_MILLIS),
          MILLIS,
          "the one-way delay");

  static final SettingKey<PoolKind> POOL_KIND =
      required(
          SectionKind.POOL,
          "kind",
          ValueRules.oneOf(PoolKind.class),
          "",
          "split for model engines, plain for services that answer whole calls");
  static final SettingKey<String> POOL_MODEL =
      optional(
          SectionKind.POOL,
          "model",
          ValueRules.modelName(),
          "",
          "",
          "the model that the engines serve; needed for split pools");
  static final SettingKey<Integer> POOL_KV_BYTES =
      optional(
          SectionKind.POOL,
          "kvBytesPerToken",
          ValueRules.intRange(0, 100_000_000),
          "bytes a token",
          "0",
          "the size of the KV cache of one prompt token; needed for split pools");
  static final SettingKey<Integer> POOL_EVICTION =
      optional(
          SectionKind.POOL,
          "evictionMillis",
          ValueRules.intRange(0, DAY_MILLIS),
          MILLIS,
          "0",
          "how long a prefill endpoint keeps an unclaimed result; needed for split pools");

  static final SettingKey<PoolId> SERVICE_POOL =
      reference(
          SectionKind.SERVICE,
          "pool",
          ValueRules.name().map(PoolId::of),
          SectionKind.POOL,
          "the pool whose endpoints do its work");
  static final SettingKey<Integer> SERVICE_FIRST_TOKEN =
      required(
          SectionKind.SERVICE,
          "firstTokenTargetMillis",
          ValueRules.intRange(1, DAY_MILLIS),
          MILLIS,
          "the target for the time to the first token, or to the whole plain answer");
  static final SettingKey<Integer> SERVICE_TOKEN_GAP =
      optional(
          SectionKind.SERVICE,
          "tokenGapTargetMillis",
          ValueRules.intRange(1, DAY_MILLIS),
          MILLIS,
          "200",
          "the target for the time between tokens; unused for plain pools");
  static final SettingKey<Integer> SERVICE_DEADLINE =
      optional(
          SectionKind.SERVICE,
          "deadlineMillis",
          ValueRules.intRange(1, DAY_MILLIS),
          MILLIS,
          "30000",
          "how long a request may take to its first token before it is given up");
  static final SettingKey<Integer> SERVICE_QUEUE =
      optional(
          SectionKind.SERVICE,
          "queueLimit",
          ValueRules.intRange(0, 100_000),
          "requests",
          "200",
          "how many requests may wait in one failure domain");
  static final SettingKey<Integer> SERVICE_PRIORITY =
      optional(
          SectionKind.SERVICE,
          "priority",
          ValueRules.intRange(0, 9),
          "",
          "5",
          "passed on to endpoints, 9 is the highest");
  static final SettingKey<Integer> SERVICE_UNCONFIRMED_KEY =
      optional(
          SectionKind.SERVICE,
          "unconfirmedKeyMillis",
          ValueRules.intRange(MIN_UNCONFIRMED_KEY_MILLIS, DAY_MILLIS),
          MILLIS,
          "60000",
          "how long keys are accepted in a failure domain that nothing newer can reach");

  static final SettingKey<String> ROUTE_METHOD =
      required(SectionKind.ROUTE, "method", ValueRules.httpMethod(), "", "the HTTP method");
  static final SettingKey<String> ROUTE_PATH =
      required(SectionKind.ROUTE, "path", ValueRules.urlPath(), "", "the exact path");
  static final SettingKey<ServiceId> ROUTE_SERVICE =
      reference(
          SectionKind.ROUTE,
          "service",
          ValueRules.name().map(ServiceId::of),
          SectionKind.SERVICE,
          "the service that answers");
  static final SettingKey<CallSafety> ROUTE_SAFETY =
      required(
          SectionKind.ROUTE,
          "safety",
          ValueRules.oneOf(CallSafety.class),
          "",
          "whether a call may be sent to an endpoint more than once");
  static final SettingKey<Boolean> ROUTE_OPEN =
      optional(
          SectionKind.ROUTE, "open", ValueRules.yesNo(), "", "no", "yes if callers need no key");

  static final SettingKey<Long> ACCOUNT_RATE =
      required(
          SectionKind.ACCOUNT,
          "rateTokensPerSecond",
          ValueRules.longRange(0, 1_000_000_000L),
          "tokens a second",
          "what it earns over the whole fleet");
  static final SettingKey<Long> ACCOUNT_BURST =
      required(
          SectionKind.ACCOUNT,
          "burstTokens",
          ValueRules.longRange(0, 1_000_000_000_000L),
          "tokens",
          "the most it can have saved over the whole fleet");
  static final SettingKey<Integer> ACCOUNT_WEIGHT =
      optional(
          SectionKind.ACCOUNT,
          "weight",
          ValueRules.intRange(1, 1_000),
          "",
          "1",
          "its share when accounts compete");
  static final SettingKey<Integer> ACCOUNT_DOMAIN_WEIGHT =
      optional(
          SectionKind.ACCOUNT,
          DOMAIN_WEIGHT_PREFIX,
          ValueRules.intRange(0, 1_000),
          "",
          "0",
          "the failure domain's share of rate and burst; without any, all have the same");

  static final SettingKey<AccountId> KEY_ACCOUNT =
      reference(
          SectionKind.KEY,
          "account",
          ValueRules.name().map(AccountId::of),
          SectionKind.ACCOUNT,
          "the client account that the key stands for");
  static final SettingKey<KeyDigest> KEY_DIGEST =
      required(SectionKind.KEY, "digest", ValueRules.digest(), "", "the SHA-256 digest of the key");

  static final SettingKey<PoolId> ENDPOINT_POOL =
      reference(
          SectionKind.ENDPOINT,
          "pool",
          ValueRules.name().map(PoolId::of),
          SectionKind.POOL,
          "the pool it belongs to");
  static final SettingKey<EndpointRole> ENDPOINT_ROLE =
      required(
          SectionKind.ENDPOINT,
          "role",
          ValueRules.oneOf(EndpointRole.class),
          "",
          "what it does there");
  static final SettingKey<FailureDomainId> ENDPOINT_DOMAIN =
      reference(
          SectionKind.ENDPOINT,
          "domain",
          ValueRules.name().map(FailureDomainId::of),
          SectionKind.DOMAIN,
          "the failure domain it stands in");
  static final SettingKey<String> ENDPOINT_HOST =
      required(SectionKind.ENDPOINT, "host", ValueRules.ipAddress(), "", "its IP number");
  static final SettingKey<Integer> ENDPOINT_PORT =
      required(SectionKind.ENDPOINT, "port", ValueRules.port(), "", "its TCP port");
  static final SettingKey<Integer> ENDPOINT_MEMORY =
      optional(
          SectionKind.ENDPOINT,
          "memoryPieces",
          ValueRules.intRange(0, 1_000_000),
          "pieces of 1000 tokens",
          "0",
          "the memory of a model engine; needed for split pools");
  static final SettingKey<Boolean> ENDPOINT_FENCING =
      optional(
          SectionKind.ENDPOINT,
          "checksFencing",
          ValueRules.yesNo(),
          "",
          "no",
          "yes if it refuses orders with an old fencing number");
  static final SettingKey<EndpointState> ENDPOINT_STATE =
      optional(
          SectionKind.ENDPOINT,
          "state",
          ValueRules.oneOf(EndpointState.class),
          "",
          "active",
          "leaving if it shall get no new work");

  private static final List<SettingKey<?>> ALL =
      List.<SettingKey<?>>of(
              DOMAIN_REGION, LINK_RATE, LINK_DELAY, POOL_KIND, POOL_MODEL, POOL_KV_BYTES)
          .append(POOL_EVICTION)
          .appendAll(List.of(SERVICE_POOL, SERVICE_FIRST_TOKEN, SERVICE_TOKEN_GAP))
          .appendAll(List.of(SERVICE_DEADLINE, SERVICE_QUEUE, SERVICE_PRIORITY))
          .append(SERVICE_UNCONFIRMED_KEY)
          .appendAll(List.of(ROUTE_METHOD, ROUTE_PATH, ROUTE_SERVICE, ROUTE_SAFETY, ROUTE_OPEN))
          .appendAll(List.of(ACCOUNT_RATE, ACCOUNT_BURST, ACCOUNT_WEIGHT, ACCOUNT_DOMAIN_WEIGHT))
          .appendAll(List.of(KEY_ACCOUNT, KEY_DIGEST))
          .appendAll(List.of(ENDPOINT_POOL, ENDPOINT_ROLE, ENDPOINT_DOMAIN, ENDPOINT_HOST))
          .appendAll(List.of(ENDPOINT_PORT, ENDPOINT_MEMORY, ENDPOINT_FENCING, ENDPOINT_STATE))
          .appendAll(TEAM_KEYS);

  private DocumentSettingKeys() {}

  /**
   * Lists all setting keys of the document.
   *
   * @return the keys, grouped by section
   */
  public static List<SettingKey<?>> all() {
    return ALL;
  }

  static SettingKey<TeamId> teamKey(SectionKind kind) {
    return TEAM_KEYS.find(key -> key.section() == kind).get();
  }
}
