package org.knapweedcleat.bench;

import java.util.List;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/**
 * A simulated request of a caller.
 *
 * @param atMicros the arrival time
 * @param sequenceNumber the position among all requests, from 0
 * @param service the requested service
 * @param account the client account that is charged
 * @param instanceIndex the index of the instance that receives the request
 * @param promptTokens the prompt length in tokens
 * @param outputTokens the number of tokens generated
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param prefixBlockHashes the hashes of the leading prompt blocks that a prefix cache can hold
 * @param withinRate whether a single token bucket for the whole fleet admits the request
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
