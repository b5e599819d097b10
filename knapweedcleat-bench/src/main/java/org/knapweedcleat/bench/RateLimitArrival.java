package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.knapweedcleat.core.config.AccountSpec;

/**
 * A request that is charged to the rate limit of a client account.
 *
 * @param atMicros the arrival time
 * @param account the client account that is charged
 * @param instanceIndex the index of the instance that receives the request
 * @param tokens the tokens charged
 */
record RateLimitArrival(long atMicros, AccountSpec account, int instanceIndex, long tokens) {

  private static final double LOAD_FACTOR = 0.8;
  private static final double OVERLOAD_FACTOR = 5;
  private static final int OVERLOADING_ACCOUNT_INDEX = 1;
  private static final int MIN_TOKENS = 100;
  private static final int MAX_TOKENS = 2_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double[] DOMAIN_WEIGHTS = {0.5, 0.3, 0.2};
  private static final double[] INSTANCE_WEIGHTS = {0.6, 0.3, 0.1};

  /** Generates a Poisson process for each account; the second account exceeds its rate. */
  static List<RateLimitArrival> generate(
      long seed, List<AccountSpec> accounts, long fromMicros, long untilMicros) {
    Random random = new Random(seed);
    List<RateLimitArrival> arrivals = new ArrayList<>();
    for (int index = 0; index < accounts.size(); index++) {
      AccountSpec account = accounts.get(index);
      double loadFactor = index == OVERLOADING_ACCOUNT_INDEX ? OVERLOAD_FACTOR : LOAD_FACTOR;
      double meanTokens = (MIN_TOKENS + MAX_TOKENS) / 2.0;
      double arrivalsPerMicro =
          loadFactor * account.rateTokensPerSecond() / meanTokens / MICROS_PER_SECOND;
      double atMicros = fromMicros + interarrivalMicros(random, arrivalsPerMicro);
      while (atMicros < untilMicros) {
        long tokens = MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS + 1);
        arrivals.add(new RateLimitArrival((long) atMicros, account, instanceIndex(random), tokens));
        atMicros += interarrivalMicros(random, arrivalsPerMicro);
      }
    }
    arrivals.sort(Comparator.comparingLong(RateLimitArrival::atMicros));
    return arrivals;
  }

  private static double interarrivalMicros(Random random, double arrivalsPerMicro) {
    return -Math.log(1 - random.nextDouble()) / arrivalsPerMicro;
  }

  private static int instanceIndex(Random random) {
    int domainIndex = sampleIndex(random, DOMAIN_WEIGHTS);
    return domainIndex * INSTANCE_WEIGHTS.length + sampleIndex(random, INSTANCE_WEIGHTS);
  }

  private static int sampleIndex(Random random, double[] weights) {
    double remaining = random.nextDouble();
    for (int index = 0; index < weights.length - 1; index++) {
      remaining -= weights[index];
      if (remaining < 0) {
        return index;
      }
    }
    return weights.length - 1;
  }
}
