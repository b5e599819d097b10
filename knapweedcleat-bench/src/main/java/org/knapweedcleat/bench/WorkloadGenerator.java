package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;

/** Generates the requests of a run, which depend on the seed but not on the policy. */
final class WorkloadGenerator {

  static final int DURATION_SECONDS = 180;

  /** The duration of the peak, which is the middle third of the run. */
  static final double PEAK_SECONDS = DURATION_SECONDS / 3.0;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double PEAK_LOAD_FACTOR = 1.3;
  private static final int WEIGHT_WINDOW_SECONDS = 30;
  private static final int OVERLOADING_ACCOUNT_INDEX = 1;
  private static final double OVERLOAD_FACTOR = 5;
  private static final int ACCOUNT_PREFIX_BLOCKS = 4;
  private static final int MEMBER_PREFIX_BLOCKS = 2;
  private static final int MEMBERS_PER_ACCOUNT = 200;

  private final BenchmarkFleet fleet;
  private final Scenario scenario;
  private final boolean overload;
  private final UniformRandomProvider random;
  private final Map<AccountId, TokenBucket> exactBuckets = new HashMap<>();
  private final Map<Long, double[]> instanceWeights = new HashMap<>();
  private final List<AccountId> accounts;

  private WorkloadGenerator(BenchmarkFleet fleet, Scenario scenario, long seed, boolean overload) {
    this.fleet = fleet;
    this.scenario = scenario;
    this.overload = overload;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.accounts = List.copyOf(fleet.trafficTenths().keySet());
    for (AccountSpec account : fleet.document().accounts().values()) {
      exactBuckets.put(
          account.id(), TokenBucket.of(account.rateTokensPerSecond(), account.burstTokens()));
    }
  }

  static List<Arrival> generate(
      BenchmarkFleet fleet, Scenario scenario, long seed, boolean overload) {
    return new WorkloadGenerator(fleet, scenario, seed, overload).generateAll();
  }

  static boolean isPeak(long atMicros) {
    double second = atMicros / MICROS_PER_SECOND;
    return second >= PEAK_SECONDS && second < 2 * PEAK_SECONDS;
  }

  private List<Arrival> generateAll() {
    List<Arrival> arrivals = new ArrayList<>();
    for (int accountIndex = 0; accountIndex < accounts.size(); accountIndex++) {
      generateForAccount(accountIndex, arrivals);
    }
    arrivals.sort((one, other) -> Long.compare(one.atMicros(), other.atMicros()));
    List<Arrival> numbered = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      numbered.add(numberAndClassify(arrival, numbered.size()));
    }
    return numbered;
  }

  private void generateForAccount(int accountIndex, List<Arrival> arrivals) {
    AccountSpec spec = fleet.document().accounts().get(accounts.get(accountIndex));
    double perSecond = spec.rateTokensPerSecond() / meanTokens() * overloadFactor(accountIndex);
    double atMicros = 0;
    while (true) {
      atMicros += -Math.log(1 - random.nextDouble()) / (perSecond * PEAK_LOAD_FACTOR) * 1e6;
      if (atMicros >= DURATION_SECONDS * MICROS_PER_SECOND) {
        return;
      }
      if (random.nextDouble() * PEAK_LOAD_FACTOR < loadFactor(atMicros / MICROS_PER_SECOND)) {
        arrivals.add(createArrival((long) atMicros, accountIndex));
      }
    }
  }

  private double overloadFactor(int accountIndex) {
    return overload && accountIndex == OVERLOADING_ACCOUNT_INDEX ? OVERLOAD_FACTOR : 1;
  }

  private double loadFactor(double second) {
    if (scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES) {
      return 0.9;
    }
    if (isPeak((long) (second * MICROS_PER_SECOND))) {
      return PEAK_LOAD_FACTOR;
    }
    return second < PEAK_SECONDS ? 0.7 : 0.8;
  }

  private double meanTokens() {
    double quickShare = quickShare();
    return quickShare * RequestClass.QUICK.meanTokens()
        + (1 - quickShare) * RequestClass.NOTE.meanTokens();
  }

  private double quickShare() {
    boolean hasKiosk = fleet.document().services().size() > 1;
    return !hasKiosk ? 0 : scenario == Scenario.KIOSK ? 0.6 : 0.25;
  }

  private Arrival createArrival(long atMicros, int accountIndex) {
    RequestClass requestClass =
        random.nextDouble() < quickShare() ? RequestClass.QUICK : RequestClass.NOTE;
    int promptTokens = requestClass.promptTokens(random.nextDouble());
    int outputTokens = requestClass.outputTokens(random.nextDouble());
    List<Long> hashes = new ArrayList<>();
    for (long block = 0;
        block < ACCOUNT_PREFIX_BLOCKS && requestClass == RequestClass.NOTE;
        block++) {
      hashes.add(accountIndex * 1_000_000L + block);
    }
    long member = random.nextInt(MEMBERS_PER_ACCOUNT);
    for (long block = 0;
        block < MEMBER_PREFIX_BLOCKS && requestClass == RequestClass.NOTE;
        block++) {
      hashes.add(accountIndex * 1_000_000L + 1_000 + member * 10 + block);
    }
    return new Arrival(
        atMicros,
        0,
        serviceOf(requestClass),
        accounts.get(accountIndex),
        selectInstance(atMicros, accountIndex),
        promptTokens,
        outputTokens,
        requestClass.maxOutputTokens(),
        hashes,
        false);
  }

  private Arrival numberAndClassify(Arrival arrival, int number) {
    boolean withinRate =
        exactBuckets.get(arrival.account()).tryTake(arrival.atMicros(), arrival.chargedTokens());
    return new Arrival(
        arrival.atMicros(),
        number,
        arrival.service(),
        arrival.account(),
        arrival.instanceIndex(),
        arrival.promptTokens(),
        arrival.outputTokens(),
        arrival.maxOutputTokens(),
        arrival.prefixBlockHashes(),
        withinRate);
  }

  private ServiceSpec serviceOf(RequestClass requestClass) {
    return fleet.document().services().values().stream()
        .filter(service -> (service.priority() > 5) == (requestClass == RequestClass.QUICK))
        .findFirst()
        .orElseThrow();
  }

  /** Selects an instance by random weights that change every 30 s, as an uneven balancer would. */
  private int selectInstance(long atMicros, int accountIndex) {
    long window = (long) (atMicros / MICROS_PER_SECOND / WEIGHT_WINDOW_SECONDS);
    double[] weights =
        instanceWeights.computeIfAbsent(
            window * 100 + accountIndex, key -> sampleInstanceWeights());
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double remaining = random.nextDouble() * sum;
    for (int index = 0; index < weights.length; index++) {
      remaining -= weights[index];
      if (remaining < 0) {
        return index;
      }
    }
    return weights.length - 1;
  }

  private double[] sampleInstanceWeights() {
    double[] weights = new double[fleet.instanceDomains().size()];
    for (int index = 0; index < weights.length; index++) {
      weights[index] =
          domainWeight(fleet.instanceDomains().get(index)) * (0.5 + random.nextDouble());
    }
    return weights;
  }

  /** Returns the number of engines in the domain, but at least 1 for domains without engines. */
  private double domainWeight(FailureDomainId domain) {
    long engines =
        fleet.document().endpoints().values().stream()
            .filter(endpoint -> endpoint.domain().equals(domain))
            .count();
    return Math.max(1, engines);
  }

  /** The ranges of prompt and output lengths of a class of requests. */
  private enum RequestClass {
    QUICK(200, 600, 20, 40, 60),
    NOTE(1_500, 3_500, 80, 220, 300);

    private final int minPromptTokens;
    private final int maxPromptTokens;
    private final int minOutputTokens;
    private final int maxGeneratedTokens;
    private final int maxOutputTokens;

    RequestClass(
        int minPromptTokens,
        int maxPromptTokens,
        int minOutputTokens,
        int maxGeneratedTokens,
        int maxOutputTokens) {
      this.minPromptTokens = minPromptTokens;
      this.maxPromptTokens = maxPromptTokens;
      this.minOutputTokens = minOutputTokens;
      this.maxGeneratedTokens = maxGeneratedTokens;
      this.maxOutputTokens = maxOutputTokens;
    }

    double meanTokens() {
      return (minPromptTokens + maxPromptTokens) / 2.0 + maxOutputTokens;
    }

    int maxOutputTokens() {
      return maxOutputTokens;
    }

    int promptTokens(double sample) {
      return minPromptTokens + (int) (sample * (maxPromptTokens - minPromptTokens));
    }

    int outputTokens(double sample) {
      return minOutputTokens + (int) (sample * (maxGeneratedTokens - minOutputTokens));
    }
  }
}
