package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.EndpointState;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RegionSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/** Test data: a small fleet, requests for it and load reports. */
final class TestFleet {

  static final PoolId POOL = PoolId.of("pool");
  static final FailureDomainId DOMAIN = FailureDomainId.of("domain");
  static final ServiceId KIOSK = ServiceId.of("kiosk");
  static final ServiceId NOTES = ServiceId.of("notes");
  static final int MEMORY_PIECES = 20;
  static final int NOTES_QUEUE_LIMIT = 40;

  private static final TeamId TEAM = TeamId.of("team");

  private TestFleet() {}

  static IncarnationId incarnation(int number) {
    return IncarnationId.of(InstanceId.of("instance-" + number), 1);
  }

  static AccountId account(int number) {
    return AccountId.of("account-" + number);
  }

  static EndpointId prefill(int number) {
    return EndpointId.of("prefill-" + number);
  }

  static EndpointId decode(int number) {
    return EndpointId.of("decode-" + number);
  }

  /** Returns a document with one split pool, in which the given endpoints are leaving. */
  static FleetDocument document(int prefills, int decodes, List<EndpointId> leaving) {
    List<EndpointSpec> endpoints = new ArrayList<>();
    for (int number = 1; number <= prefills; number++) {
      endpoints.add(endpoint(prefill(number), EndpointRole.PREFILL, leaving));
    }
    for (int number = 1; number <= decodes; number++) {
      endpoints.add(endpoint(decode(number), EndpointRole.DECODE, leaving));
    }
    return assemble(endpoints);
  }

  static PlacementRequest request(int number, int account, int promptTokens) {
    return request(number, 1, account, NOTES, promptTokens, 60_000);
  }

  static PlacementRequest request(
      int number,
      int attempt,
      int account,
      ServiceId service,
      int promptTokens,
      long remainingMillis) {
    return new PlacementRequest(
        RequestId.of("request-" + number),
        attempt,
        incarnation(1),
        service,
        account(account),
        true,
        promptTokens,
        100,
        List.of(),
        remainingMillis);
  }

  static EndpointLoad idle(EndpointId endpoint) {
    return load(endpoint, 0, List.of());
  }

  static EndpointLoad load(EndpointId endpoint, int usedPieces, List<RequestId> held) {
    return new EndpointLoad(endpoint, usedPieces, MEMORY_PIECES, 0, held.size(), held);
  }

  private static FleetDocument assemble(List<EndpointSpec> endpoints) {
    RegionId region = RegionId.of("region");
    ServiceSpec kiosk = new ServiceSpec(KIOSK, POOL, 1_000, 60, 1_000, 0, 9, 0, TEAM);
    ServiceSpec notes =
        new ServiceSpec(NOTES, POOL, 10_000, 100, 60_000, NOTES_QUEUE_LIMIT, 1, 0, TEAM);
    return new FleetDocument(
        "test",
        Map.of(region, new RegionSpec(region, TEAM)),
        Map.of(DOMAIN, new FailureDomainSpec(DOMAIN, region, TEAM)),
        List.of(),
        Map.of(POOL, new PoolSpec(POOL, PoolKind.SPLIT, "model", 1_000, 800, TEAM)),
        Map.of(KIOSK, kiosk, NOTES, notes),
        List.of(),
        accounts(),
        List.of(),
        endpoints.stream().collect(Collectors.toMap(EndpointSpec::id, Function.identity())));
  }

  private static Map<AccountId, AccountSpec> accounts() {
    List<AccountSpec> accounts = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      accounts.add(new AccountSpec(account(number), 1_000, 10_000, 1, Map.of(), TEAM));
    }
    return accounts.stream().collect(Collectors.toMap(AccountSpec::id, Function.identity()));
  }

  private static EndpointSpec endpoint(EndpointId id, EndpointRole role, List<EndpointId> leaving) {
    EndpointState state = leaving.contains(id) ? EndpointState.LEAVING : EndpointState.ACTIVE;
    return new EndpointSpec(
        id, POOL, role, DOMAIN, "127.0.0.1", 1, MEMORY_PIECES, true, state, TEAM);
  }
}
