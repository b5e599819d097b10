package org.knapweedcleat.bench;

/**
 * How fast the fake engines are; the core is never told.
 *
 * @param prefillTokensPerSecond the rate at which prompts are read
 * @param decodeStepBaseMicros the time of a decode step of an empty batch
 * @param decodeStepPerRequestMicros what each request of the batch adds to a step
 * @param cacheCapacityBlocks how many blocks of prompt prefixes an engine keeps
 * @param cacheBlockTokens the tokens of a block
 * @param linkBytesPerSecond the rate at which the engines of a failure domain exchange KV cache
 * @param reportIntervalMillis how often an engine reports its load
 * @param reportLagMillis how late a report arrives
 * @param cacheEventLagMillis how late a cache event arrives
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
