package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
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
import org.knapweedcleat.core.config.LinkSpec;
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
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/**
 * The simulated fleet: its document, instances and traffic distribution.
 *
 * @param document the fleet document
 * @param pool the pool that all engines belong to
 * @param instanceDomains the failure domain of each instance
 * @param trafficTenths the tenths of the traffic that each client account sends
 */
record BenchmarkFleet(
    FleetDocument document,
    PoolId pool,
    List<FailureDomainId> instanceDomains,
    Map<AccountId, Integer> trafficTenths) {

  private static final TeamId TEAM = TeamId.of("operators");
  private static final int MEMORY_PIECES = 60;
  private static final int KV_BYTES_PER_TOKEN = 100_000;
  private static final int EVICTION_MILLIS = 800;
  private static final int BURST_SECONDS = 20;
  private static final int LINK_KILOBITS_PER_SECOND = 20_000;
  private static final int LINK_DELAY_MILLIS = 30;
  private static final List<Integer> TRAFFIC_TENTHS = List.of(4, 3, 1, 1, 1);

  static BenchmarkFleet school() {
    Map<String, String> domains = new LinkedHashMap<>();
    domains.put("kayseri-a", "anatolia-central");
    domains.put("kayseri-b", "anatolia-central");
    domains.put("bursa-a", "marmara");
    PoolId pool = PoolId.of("horn-tutor");
    List<EndpointSpec> endpoints = new ArrayList<>();
    addEngines(endpoints, pool, "kayseri-a", 2, 3);
    addEngines(endpoints, pool, "kayseri-b", 1, 3);
    addEngines(endpoints, pool, "bursa-a", 1, 2);
    List<ServiceSpec> services =
        List.of(
            service(pool, "kiosk", 1_000, 50, 1_000, 20, 7),
            service(pool, "lesson-notes", 8_000, 60, 60_000, 200, 3));
    return of("school", domains, pool, endpoints, services, 60_000, 3);
  }

  static BenchmarkFleet cooperative() {
    Map<String, String> domains = new LinkedHashMap<>();
    domains.put("cali-norte", "valle");
    domains.put("palmira", "valle");
    domains.put("medellin-sur", "antioquia");
    PoolId pool = PoolId.of("nota-asistente");
    List<EndpointSpec> endpoints = new ArrayList<>();
    addEngines(endpoints, pool, "cali-norte", 1, 2);
    addEngines(endpoints, pool, "palmira", 1, 2);
    List<ServiceSpec> services =
        List.of(service(pool, "reconciliation-notes", 8_000, 60, 60_000, 200, 3));
    return of("cooperative", domains, pool, endpoints, services, 30_000, 3);
  }

  /**
   * Returns a fleet whose engines are all in one failure domain; a third of them are prefill
   * engines.
   */
  static BenchmarkFleet ofSize(int endpointCount, int accountCount) {
    Map<String, String> domains = new LinkedHashMap<>();
    domains.put("here", "one");
    domains.put("there", "two");
    PoolId pool = PoolId.of("pool");
    List<EndpointSpec> endpoints = new ArrayList<>();
    int prefillCount = endpointCount / 3;
    addEngines(endpoints, pool, "here", prefillCount, endpointCount - prefillCount);
    List<ServiceSpec> services = List.of(service(pool, "notes", 8_000, 60, 600_000, 1_000_000, 3));
    BenchmarkFleet fleet = of("size", domains, pool, endpoints, services, 1, 1);
    FleetDocument document = fleet.document();
    Map<AccountId, AccountSpec> accounts = new LinkedHashMap<>();
    for (int index = 0; index < accountCount; index++) {
      AccountId id = AccountId.of("account-" + index);
      accounts.put(id, new AccountSpec(id, 1, 1, 1, Map.of(), TEAM));
    }
    return new BenchmarkFleet(
        new FleetDocument(
            document.name(),
            document.regions(),
            document.domains(),
            document.links(),
            document.pools(),
            document.services(),
            document.routes(),
            accounts,
            document.keys(),
            document.endpoints()),
        pool,
        fleet.instanceDomains(),
        fleet.trafficTenths());
  }

  IncarnationId incarnation(int instance) {
    return IncarnationId.of(InstanceId.of("instance-" + instance), 1);
  }

  List<EndpointSpec> endpoints(EndpointRole role) {
    return document.endpoints().values().stream()
        .filter(endpoint -> endpoint.role() == role)
        .sorted((one, other) -> one.id().compareTo(other.id()))
        .toList();
  }

  private static BenchmarkFleet of(
      String name,
      Map<String, String> domains,
      PoolId pool,
      List<EndpointSpec> endpoints,
      List<ServiceSpec> services,
      int tokensPerSecond,
      int instancesPerDomain) {
    Map<AccountId, Integer> trafficTenths = new LinkedHashMap<>();
    Map<AccountId, AccountSpec> accounts = new LinkedHashMap<>();
    for (int index = 0; index < TRAFFIC_TENTHS.size(); index++) {
      AccountId id = AccountId.of("account-" + (index + 1));
      int rate = tokensPerSecond * TRAFFIC_TENTHS.get(index) / 10;
      trafficTenths.put(id, TRAFFIC_TENTHS.get(index));
      accounts.put(
          id,
          new AccountSpec(
              id, rate, (long) rate * BURST_SECONDS, TRAFFIC_TENTHS.get(index), Map.of(), TEAM));
    }
    List<FailureDomainId> instanceDomains = new ArrayList<>();
    for (String domain : domains.keySet()) {
      for (int count = 0; count < instancesPerDomain; count++) {
        instanceDomains.add(FailureDomainId.of(domain));
      }
    }
    return new BenchmarkFleet(
        document(name, domains, pool, endpoints, services, accounts),
        pool,
        instanceDomains,
        trafficTenths);
  }

  private static FleetDocument document(
      String name,
      Map<String, String> domains,
      PoolId pool,
      List<EndpointSpec> endpoints,
      List<ServiceSpec> services,
      Map<AccountId, AccountSpec> accounts) {
    Map<RegionId, RegionSpec> regions =
        domains.values().stream()
            .distinct()
            .map(region -> new RegionSpec(RegionId.of(region), TEAM))
            .collect(Collectors.toMap(RegionSpec::id, Function.identity()));
    Map<FailureDomainId, FailureDomainSpec> domainSpecs =
        domains.entrySet().stream()
            .map(
                entry ->
                    new FailureDomainSpec(
                        FailureDomainId.of(entry.getKey()), RegionId.of(entry.getValue()), TEAM))
            .collect(Collectors.toMap(FailureDomainSpec::id, Function.identity()));
    List<RegionId> linkedRegions = domains.values().stream().distinct().map(RegionId::of).toList();
    LinkSpec link =
        new LinkSpec(
            linkedRegions.get(0),
            linkedRegions.get(1),
            LINK_KILOBITS_PER_SECOND,
            LINK_DELAY_MILLIS,
            TEAM);
    PoolSpec poolSpec =
        new PoolSpec(pool, PoolKind.SPLIT, "model", KV_BYTES_PER_TOKEN, EVICTION_MILLIS, TEAM);
    return new FleetDocument(
        name,
        regions,
        domainSpecs,
        List.of(link),
        Map.of(pool, poolSpec),
        services.stream().collect(Collectors.toMap(ServiceSpec::id, Function.identity())),
        List.of(),
        accounts,
        List.of(),
        endpoints.stream().collect(Collectors.toMap(EndpointSpec::id, Function.identity())));
  }

  private static void addEngines(
      List<EndpointSpec> endpoints, PoolId pool, String domain, int prefillCount, int decodeCount) {
    for (int number = 1; number <= prefillCount; number++) {
      endpoints.add(endpoint(pool, domain, EndpointRole.PREFILL, "prefill-" + number));
    }
    for (int number = 1; number <= decodeCount; number++) {
      endpoints.add(endpoint(pool, domain, EndpointRole.DECODE, "decode-" + number));
    }
  }

  private static EndpointSpec endpoint(PoolId pool, String domain, EndpointRole role, String name) {
    return new EndpointSpec(
        EndpointId.of(domain + "-" + name),
        pool,
        role,
        FailureDomainId.of(domain),
        "127.0.0.1",
        1,
        MEMORY_PIECES,
        true,
        EndpointState.ACTIVE,
        TEAM);
  }

  private static ServiceSpec service(
      PoolId pool,
      String name,
      int firstTokenTargetMillis,
      int tokenGapTargetMillis,
      int deadlineMillis,
      int queueLimit,
      int priority) {
    return new ServiceSpec(
        ServiceId.of(name),
        pool,
        firstTokenTargetMillis,
        tokenGapTargetMillis,
        deadlineMillis,
        queueLimit,
        priority,
        0,
        TEAM);
  }
}
