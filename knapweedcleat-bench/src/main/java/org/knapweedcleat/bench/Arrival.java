package org.knapweedcleat.bench;

import java.util.List;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/**
 * A request that a caller sends.
 *
 * @param atMicros when it arrives
 * @param sequenceNumber counts the requests, from 0
 * @param service the service asked for
 * @param account the client account that pays
 * @param instanceIndex the index of the instance that the balancer chose
 * @param promptTokens the length of the prompt
 * @param outputTokens the length of the answer
 * @param maxOutputTokens the most tokens the answer may have
 * @param prefixBlockHashes the hashes of the prompt's shared leading blocks
 * @param withinRate whether one bucket for the whole fleet would have let it through
 */
record Arrival(
    long atMicros,
    int sequenceNumber,
    ServiceSpec service,
    AccountId account,
    int instanceIndex,
    int promptTokens,
    int outputTokens,
    int maxOutputTokens,
    List<Long> prefixBlockHashes,
    boolean withinRate) {

  long chargedTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
