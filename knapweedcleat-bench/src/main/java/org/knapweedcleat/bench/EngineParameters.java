package org.knapweedcleat.bench;

/**
 * Speeds, cache sizes and reporting delays of the simulated engines. The core does not know them.
 *
 * @param prefillTokensPerSecond the rate at which an engine processes prompts
 * @param decodeStepBaseMicros the fixed part of the duration of a decode step
 * @param decodeStepPerRequestMicros the time that each request of the batch adds to a decode step
 * @param cacheCapacityBlocks the number of blocks in the prefix cache of an engine
 * @param cacheBlockTokens the number of tokens in a cache block
 * @param linkBytesPerSecond the rate of KV cache transfers within a failure domain
 * @param reportIntervalMillis the interval between load reports of an engine
 * @param reportLagMillis the delay of a load report
 * @param cacheEventLagMillis the delay of a cache event
 */
record EngineParameters(
    int prefillTokensPerSecond,
    int decodeStepBaseMicros,
    int decodeStepPerRequestMicros,
    int cacheCapacityBlocks,
    int cacheBlockTokens,
    long linkBytesPerSecond,
    int reportIntervalMillis,
    int reportLagMillis,
    int cacheEventLagMillis) {

  static EngineParameters defaults() {
    return new EngineParameters(20_000, 18_000, 900, 200, 128, 3_125_000_000L, 250, 300, 500);
  }

  EngineParameters withReportLag(int lagMillis) {
    return new EngineParameters(
        prefillTokensPerSecond,
        decodeStepBaseMicros,
        decodeStepPerRequestMicros,
        cacheCapacityBlocks,
        cacheBlockTokens,
        linkBytesPerSecond,
        reportIntervalMillis,
        lagMillis,
        cacheEventLagMillis);
  }
}
