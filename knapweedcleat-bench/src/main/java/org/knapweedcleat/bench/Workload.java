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

/** Draws the requests of a run; the same seed draws the same requests whatever the policy. */
final class Workload {

  static final int DURATION_SECONDS = 180;

  /** The middle of the run. */
  static final double PEAK_SECONDS = DURATION_SECONDS / 3.0;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double PEAK_INTENSITY = 1.3;
  private static final int SKEW_SECONDS = 30;
  private static final int GREEDY_ACCOUNT = 1;
  private static final double GREEDY_FACTOR = 5;
  private static final int SHARED_BLOCKS = 4;
  private static final int OWN_BLOCKS = 2;
  private static final int MEMBERS_PER_ACCOUNT = 200;

  private final BenchFleet fleet;
  private final Scenario scenario;
  private final boolean greedy;
  private final UniformRandomProvider random;
  private final Map<AccountId, TokenBucket> oracle = new HashMap<>();
  private final Map<Long, double[]> skews = new HashMap<>();
  private final List<AccountId> accounts;

  private Workload(BenchFleet fleet, Scenario scenario, long seed, boolean greedy) {
    this.fleet = fleet;
    this.scenario = scenario;
    this.greedy = greedy;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.accounts = List.copyOf(fleet.accountShares().keySet());
    for (AccountSpec account : fleet.document().accounts().values()) {
      oracle.put(
          account.id(), TokenBucket.of(account.rateTokensPerSecond(), account.burstTokens()));
    }
  }

  static List<Arrival> draw(BenchFleet fleet, Scenario scenario, long seed, boolean greedy) {
    return new Workload(fleet, scenario, seed, greedy).drawAll();
  }

  static boolean isPeak(long atMicros) {
    double second = atMicros / MICROS_PER_SECOND;
    return second >= PEAK_SECONDS && second < 2 * PEAK_SECONDS;
  }

  private List<Arrival> drawAll() {
    List<Arrival> arrivals = new ArrayList<>();
    for (int account = 0; account < accounts.size(); account++) {
      drawAccount(account, arrivals);
    }
    arrivals.sort((one, other) -> Long.compare(one.atMicros(), other.atMicros()));
    List<Arrival> numbered = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      numbered.add(finish(arrival, numbered.size()));
    }
    return numbered;
  }

  private void drawAccount(int account, List<Arrival> arrivals) {
    AccountSpec spec = fleet.document().accounts().get(accounts.get(account));
    double perSecond = spec.rateTokensPerSecond() / meanTokens() * factor(account);
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / (perSecond * PEAK_INTENSITY) * 1e6;
      if (at >= DURATION_SECONDS * MICROS_PER_SECOND) {
        return;
      }
      if (random.nextDouble() * PEAK_INTENSITY < intensity(at / MICROS_PER_SECOND)) {
        arrivals.add(arrival((long) at, account));
      }
    }
  }

  private double factor(int account) {
    return greedy && account == GREEDY_ACCOUNT ? GREEDY_FACTOR : 1;
  }

  private double intensity(double second) {
    if (scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES) {
      return 0.9;
    }
    if (isPeak((long) (second * MICROS_PER_SECOND))) {
      return PEAK_INTENSITY;
    }
    return second < PEAK_SECONDS ? 0.7 : 0.8;
  }

  private double meanTokens() {
    double quick = quickShare();
    return quick * Shape.QUICK.meanTokens() + (1 - quick) * Shape.NOTE.meanTokens();
  }

  private double quickShare() {
    boolean hasKiosk = fleet.document().services().size() > 1;
    return !hasKiosk ? 0 : scenario == Scenario.KIOSK ? 0.6 : 0.25;
  }

  private Arrival arrival(long atMicros, int account) {
    Shape shape = random.nextDouble() < quickShare() ? Shape.QUICK : Shape.NOTE;
    int promptTokens = shape.promptTokens(random.nextDouble());
    int outputTokens = shape.outputTokens(random.nextDouble());
    List<Long> hashes = new ArrayList<>();
    for (long block = 0; block < SHARED_BLOCKS && shape == Shape.NOTE; block++) {
      hashes.add(account * 1_000_000L + block);
    }
    long member = random.nextInt(MEMBERS_PER_ACCOUNT);
    for (long block = 0; block < OWN_BLOCKS && shape == Shape.NOTE; block++) {
      hashes.add(account * 1_000_000L + 1_000 + member * 10 + block);
    }
    return new Arrival(
        atMicros,
        0,
        service(shape),
        accounts.get(account),
        instance(atMicros, account),
        promptTokens,
        outputTokens,
        shape.maxOutputTokens(),
        hashes,
        false);
  }

  private Arrival finish(Arrival arrival, int number) {
    boolean inside = oracle.get(arrival.account()).take(arrival.atMicros(), arrival.limitTokens());
    return new Arrival(
        arrival.atMicros(),
        number,
        arrival.service(),
        arrival.account(),
        arrival.instance(),
        arrival.promptTokens(),
        arrival.outputTokens(),
        arrival.maxOutputTokens(),
        arrival.hashes(),
        inside);
  }

  private ServiceSpec service(Shape shape) {
    return fleet.document().services().values().stream()
        .filter(service -> (service.priority() > 5) == (shape == Shape.QUICK))
        .findFirst()
        .orElseThrow();
  }

  /** Chooses an instance by weights that the balancer shifts every half minute. */
  private int instance(long atMicros, int account) {
    long window = (long) (atMicros / MICROS_PER_SECOND / SKEW_SECONDS);
    double[] weights = skews.computeIfAbsent(window * 100 + account, key -> drawWeights());
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double rest = random.nextDouble() * sum;
    for (int index = 0; index < weights.length; index++) {
      rest -= weights[index];
      if (rest < 0) {
        return index;
      }
    }
    return weights.length - 1;
  }

  private double[] drawWeights() {
    double[] weights = new double[fleet.instanceDomains().size()];
    for (int index = 0; index < weights.length; index++) {
      weights[index] =
          domainWeight(fleet.instanceDomains().get(index)) * (0.5 + random.nextDouble());
    }
    return weights;
  }

  /** Callers are spread as the engines are; one failure domain without engines has a few. */
  private double domainWeight(FailureDomainId domain) {
    long engines =
        fleet.document().endpoints().values().stream()
            .filter(endpoint -> endpoint.domain().equals(domain))
            .count();
    return Math.max(1, engines);
  }

  /** The sizes of a kind of request. */
  private enum Shape {
    QUICK(200, 600, 20, 40, 60),
    NOTE(1_500, 3_500, 80, 220, 300);

    private final int leastPrompt;
    private final int mostPrompt;
    private final int leastOutput;
    private final int mostOutput;
    private final int maxOutput;

    Shape(int leastPrompt, int mostPrompt, int leastOutput, int mostOutput, int maxOutput) {
      this.leastPrompt = leastPrompt;
      this.mostPrompt = mostPrompt;
      this.leastOutput = leastOutput;
      this.mostOutput = mostOutput;
      this.maxOutput = maxOutput;
    }

    double meanTokens() {
      return (leastPrompt + mostPrompt) / 2.0 + maxOutput;
    }

    int maxOutputTokens() {
      return maxOutput;
    }

    int promptTokens(double draw) {
      return leastPrompt + (int) (draw * (mostPrompt - leastPrompt));
    }

    int outputTokens(double draw) {
      return leastOutput + (int) (draw * (mostOutput - leastOutput));
    }
  }
}
