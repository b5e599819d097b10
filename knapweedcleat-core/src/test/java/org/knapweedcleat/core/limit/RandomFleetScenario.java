package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.TeamId;

/** Generates random load and possibly overlapping faults for a {@link SimulatedFleet}. */
final class RandomFleetScenario {

  private static final int ACCOUNTS = 6;
  private static final double LOSS_PROBABILITY = 0.01;
  private static final long MAX_LOAD_GAP_MILLIS = 40;

  private final SimulatedFleet fleet;
  private final Random random;
  private final List<AccountSpec> accounts;

  private RandomFleetScenario(SimulatedFleet fleet, Random random, List<AccountSpec> accounts) {
    this.fleet = fleet;
    this.random = random;
    this.accounts = accounts;
  }

  /** Returns a fleet with load after 3 s, and faults between the given times. */
  static SimulatedFleet fleet(long seed, long faultsFromMillis, long faultsToMillis) {
    Random random = new Random(seed);
    int domains = 1 + random.nextInt(3);
    int each = 1 + random.nextInt(4);
    List<AccountSpec> accounts = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      long rate = 20 + random.nextInt(400);
      long burst = 50 + random.nextInt(1_500);
      accounts.add(spec("account-" + i, rate, burst, Map.of()));
    }
    SimulatedFleet fleet = SimulatedFleet.of(seed, domains, each, accounts);
    RandomFleetScenario faults = new RandomFleetScenario(fleet, random, accounts);
    fleet.schedule(3_000, faults::generateLoad);
    fleet.schedule(
        faultsFromMillis,
        () -> {
          fleet.setNetworkFaults(LOSS_PROBABILITY, 0);
          faults.scheduleFaults(faultsToMillis);
        });
    return fleet;
  }

  /** Generates uneven load: half of it goes to one instance, which changes over time. */
  private void generateLoad() {
    List<InstanceId> running = fleet.runningInstances();
    if (!running.isEmpty()) {
      InstanceId preferred = running.get((int) (fleet.nowMillis() / 9_000) % running.size());
      InstanceId any = running.get(random.nextInt(running.size()));
      SimulatedInstance instance = fleet.instance(random.nextBoolean() ? preferred : any);
      AccountSpec spec = accounts.get(Math.min(random.nextInt(ACCOUNTS), random.nextInt(ACCOUNTS)));
      long tokens = 1 + random.nextInt(random.nextInt(8) == 0 ? 400 : 25);
      if (!instance.isPaused()) {
        instance.acquire(spec.id(), tokens);
      }
    }
    fleet.schedule(
        fleet.nowMillis() + random.nextInt((int) MAX_LOAD_GAP_MILLIS), this::generateLoad);
  }

  private void scheduleFaults(long untilMillis) {
    if (fleet.nowMillis() > untilMillis) {
      return;
    }
    for (int faults = 1 + random.nextInt(2); faults > 0; faults--) {
      injectFault();
    }
    fleet.schedule(fleet.nowMillis() + random.nextInt(12_000), () -> scheduleFaults(untilMillis));
  }

  private void injectFault() {
    List<InstanceId> running = fleet.runningInstances();
    if (running.isEmpty()) {
      return;
    }
    InstanceId id = running.get(random.nextInt(running.size()));
    InstanceId other = running.get(random.nextInt(running.size()));
    FailureDomainId domain = fleet.instance(id).member().domain();
    long millis = 500 + random.nextInt(15_000);
    switch (random.nextInt(11)) {
      case 0 -> restart(id, domain, millis);
      case 1 -> fleet.pause(id, millis);
      case 2 -> fleet.replaceWhilePaused(id, 4_500 + millis);
      case 3 -> drainAndRestart(id, domain, millis);
      case 4 -> applyTemporarily(millis, cut -> fleet.setPartitioned(id, other, cut));
      case 5 -> partitionDomains(domain, millis);
      case 6 -> applyTemporarily(2 * millis, cut -> fleet.platform().setDisconnected(domain, cut));
      case 7 ->
          applyTemporarily(millis, bad -> fleet.setNetworkFaults(bad ? 0.4 : LOSS_PROBABILITY, 0));
      case 8 ->
          applyTemporarily(
              millis, bad -> fleet.setNetworkFaults(LOSS_PROBABILITY, bad ? 1_500 : 0));
      case 9 -> publishChangedAccount();
      default -> serveStaleDocuments(millis);
    }
  }

  private void restart(InstanceId id, FailureDomainId domain, long millis) {
    fleet.kill(id);
    long afterMillis = random.nextBoolean() ? 50 : millis;
    fleet.schedule(fleet.nowMillis() + afterMillis, () -> startIfStopped(id, domain));
  }

  private void drainAndRestart(InstanceId id, FailureDomainId domain, long millis) {
    fleet.leave(id, 1_000);
    fleet.schedule(fleet.nowMillis() + 1_000 + millis, () -> startIfStopped(id, domain));
  }

  private void startIfStopped(InstanceId id, FailureDomainId domain) {
    if (fleet.instance(id) == null) {
      fleet.start(id, domain);
    }
  }

  private void partitionDomains(FailureDomainId domain, long millis) {
    List<FailureDomainId> domains = fleet.domains();
    FailureDomainId other = domains.get(random.nextInt(domains.size()));
    applyTemporarily(millis, cut -> fleet.setPartitioned(domain, other, cut));
  }

  private void serveStaleDocuments(long millis) {
    fleet.platform().serveDocumentsFrom(Math.max(0, fleet.nowMillis() - random.nextInt(10_000)));
    fleet.schedule(
        fleet.nowMillis() + millis, () -> fleet.platform().serveDocumentsFrom(Long.MAX_VALUE));
  }

  /** Publishes a document that changes one account's rate and burst, or its domain weights. */
  private void publishChangedAccount() {
    int index = random.nextInt(ACCOUNTS);
    AccountSpec old = accounts.get(index);
    if (random.nextBoolean()) {
      long rate = 20 + random.nextInt(400);
      long burst = 50 + random.nextInt(1_500);
      accounts.set(index, spec(old.id().value(), rate, burst, old.domainWeights()));
    } else {
      Map<FailureDomainId, Integer> weights =
          fleet.domains().stream()
              .collect(Collectors.toMap(domain -> domain, domain -> 1 + random.nextInt(4)));
      accounts.set(
          index, spec(old.id().value(), old.rateTokensPerSecond(), old.burstTokens(), weights));
    }
    fleet.platform().publishDocument(fleet.nowMillis(), List.copyOf(accounts));
  }

  private void applyTemporarily(long millis, Consumer<Boolean> fault) {
    fault.accept(true);
    fleet.schedule(fleet.nowMillis() + millis, () -> fault.accept(false));
  }

  private static AccountSpec spec(
      String id, long rate, long burst, Map<FailureDomainId, Integer> weights) {
    return new AccountSpec(AccountId.of(id), rate, burst, 1, weights, TeamId.of("team"));
  }
}
