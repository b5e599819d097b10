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

/** Load and faults for a {@link SimulatedFleet}, chosen from a seed; any faults may overlap. */
final class FleetFaults {

  private static final int ACCOUNTS = 6;
  private static final double LOSS = 0.01;
  private static final long LOAD_GAP_MILLIS = 40;

  private final FakeFleet fleet;
  private final Random random;
  private final List<AccountSpec> accounts;

  private FleetFaults(FakeFleet fleet, Random random, List<AccountSpec> accounts) {
    this.fleet = fleet;
    this.random = random;
    this.accounts = accounts;
  }

  /** Returns a fleet that has load from the start, and faults between two times. */
  static FakeFleet fleet(long seed, long faultsFromMillis, long faultsToMillis) {
    Random random = new Random(seed);
    int domains = 1 + random.nextInt(3);
    int each = 1 + random.nextInt(4);
    List<AccountSpec> accounts = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      long rate = 20 + random.nextInt(400);
      long burst = 50 + random.nextInt(1_500);
      accounts.add(spec("account-" + i, rate, burst, Map.of()));
    }
    FakeFleet fleet = FakeFleet.of(seed, domains, each, accounts);
    FleetFaults faults = new FleetFaults(fleet, random, accounts);
    fleet.at(3_000, faults::load);
    fleet.at(
        faultsFromMillis,
        () -> {
          fleet.network(LOSS, 0);
          faults.next(faultsToMillis);
        });
    return fleet;
  }

  /** Callers come in waves to a few instances, so that the load is uneven. */
  private void load() {
    List<InstanceId> running = fleet.running();
    if (!running.isEmpty()) {
      InstanceId favourite = running.get((int) (fleet.nowMillis() / 9_000) % running.size());
      InstanceId any = running.get(random.nextInt(running.size()));
      FakeNode node = fleet.node(random.nextBoolean() ? favourite : any);
      AccountSpec spec = accounts.get(Math.min(random.nextInt(ACCOUNTS), random.nextInt(ACCOUNTS)));
      long tokens = 1 + random.nextInt(random.nextInt(8) == 0 ? 400 : 25);
      if (!node.isPaused()) {
        node.acquire(spec.id(), tokens);
      }
    }
    fleet.at(fleet.nowMillis() + random.nextInt((int) LOAD_GAP_MILLIS), this::load);
  }

  private void next(long untilMillis) {
    if (fleet.nowMillis() > untilMillis) {
      return;
    }
    for (int faults = 1 + random.nextInt(2); faults > 0; faults--) {
      fault();
    }
    fleet.at(fleet.nowMillis() + random.nextInt(12_000), () -> next(untilMillis));
  }

  private void fault() {
    List<InstanceId> running = fleet.running();
    if (running.isEmpty()) {
      return;
    }
    InstanceId id = running.get(random.nextInt(running.size()));
    InstanceId other = running.get(random.nextInt(running.size()));
    FailureDomainId domain = fleet.node(id).member().domain();
    long millis = 500 + random.nextInt(15_000);
    switch (random.nextInt(11)) {
      case 0 -> restart(id, domain, millis);
      case 1 -> fleet.pause(id, millis);
      case 2 -> fleet.replaceWhilePaused(id, 4_500 + millis);
      case 3 -> leave(id, domain, millis);
      case 4 -> during(millis, cut -> fleet.cut(id, other, cut));
      case 5 -> cutDomains(domain, millis);
      case 6 -> during(2 * millis, cut -> fleet.platform().cutOff(domain, cut));
      case 7 -> during(millis, bad -> fleet.network(bad ? 0.4 : LOSS, 0));
      case 8 -> during(millis, bad -> fleet.network(LOSS, bad ? 1_500 : 0));
      case 9 -> publish();
      default -> stale(millis);
    }
  }

  private void restart(InstanceId id, FailureDomainId domain, long millis) {
    fleet.kill(id);
    long afterMillis = random.nextBoolean() ? 50 : millis;
    fleet.at(fleet.nowMillis() + afterMillis, () -> startIfGone(id, domain));
  }

  private void leave(InstanceId id, FailureDomainId domain, long millis) {
    fleet.leave(id, 1_000);
    fleet.at(fleet.nowMillis() + 1_000 + millis, () -> startIfGone(id, domain));
  }

  private void startIfGone(InstanceId id, FailureDomainId domain) {
    if (fleet.node(id) == null) {
      fleet.start(id, domain);
    }
  }

  private void cutDomains(FailureDomainId domain, long millis) {
    List<FailureDomainId> domains = fleet.domains();
    FailureDomainId other = domains.get(random.nextInt(domains.size()));
    during(millis, cut -> fleet.cut(domain, other, cut));
  }

  private void stale(long millis) {
    fleet.platform().stale(Math.max(0, fleet.nowMillis() - random.nextInt(10_000)));
    fleet.at(fleet.nowMillis() + millis, () -> fleet.platform().stale(Long.MAX_VALUE));
  }

  /** Changes one account's rate and burst, or how the failure domains divide it. */
  private void publish() {
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
    fleet.platform().publish(fleet.nowMillis(), List.copyOf(accounts));
  }

  private void during(long millis, Consumer<Boolean> fault) {
    fault.accept(true);
    fleet.at(fleet.nowMillis() + millis, () -> fault.accept(false));
  }

  private static AccountSpec spec(
      String id, long rate, long burst, Map<FailureDomainId, Integer> weights) {
    return new AccountSpec(AccountId.of(id), rate, burst, 1, weights, TeamId.of("team"));
  }
}
