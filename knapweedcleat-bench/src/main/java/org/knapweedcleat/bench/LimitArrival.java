package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.knapweedcleat.core.config.AccountSpec;

/**
 * A request that costs tokens of an account.
 *
 * @param atMicros when it arrives
 * @param account who pays
 * @param instance the index of the instance that the balancer chose
 * @param tokens what it costs
 */
record LimitArrival(long atMicros, AccountSpec account, int instance, long tokens) {

  private static final double LOAD = 0.8;
  private static final double GREEDY_LOAD = 5;
  private static final int GREEDY_ACCOUNT = 1;
  private static final int MIN_TOKENS = 100;
  private static final int MAX_TOKENS = 2_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double[] DOMAIN_SPREAD = {0.5, 0.3, 0.2};
  private static final double[] INSTANCE_SPREAD = {0.6, 0.3, 0.1};

  /** Draws requests as Poisson processes; the second account sends more than its rate. */
  static List<LimitArrival> draw(
      long seed, List<AccountSpec> accounts, long fromMicros, long untilMicros) {
    Random random = new Random(seed);
    List<LimitArrival> arrivals = new ArrayList<>();
    for (int index = 0; index < accounts.size(); index++) {
      AccountSpec account = accounts.get(index);
      double load = index == GREEDY_ACCOUNT ? GREEDY_LOAD : LOAD;
      double meanTokens = (MIN_TOKENS + MAX_TOKENS) / 2.0;
      double perMicro = load * account.rateTokensPerSecond() / meanTokens / MICROS_PER_SECOND;
      double atMicros = fromMicros + gap(random, perMicro);
      while (atMicros < untilMicros) {
        long tokens = MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS + 1);
        arrivals.add(new LimitArrival((long) atMicros, account, instance(random), tokens));
        atMicros += gap(random, perMicro);
      }
    }
    arrivals.sort(Comparator.comparingLong(LimitArrival::atMicros));
    return arrivals;
  }

  private static double gap(Random random, double perMicro) {
    return -Math.log(1 - random.nextDouble()) / perMicro;
  }

  private static int instance(Random random) {
    int domain = choose(random, DOMAIN_SPREAD);
    return domain * INSTANCE_SPREAD.length + choose(random, INSTANCE_SPREAD);
  }

  private static int choose(Random random, double[] spread) {
    double left = random.nextDouble();
    for (int index = 0; index < spread.length - 1; index++) {
      left -= spread[index];
      if (left < 0) {
        return index;
      }
    }
    return spread.length - 1;
  }
}
