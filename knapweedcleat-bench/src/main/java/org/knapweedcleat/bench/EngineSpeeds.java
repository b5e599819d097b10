package org.knapweedcleat.bench;

/**
 * How fast the fake engines are; the core is never told.
 *
 * @param prefillTokensPerSecond the rate at which prompts are read
 * @param stepBaseMicros the time of a decode step of an empty batch
 * @param stepRequestMicros what each request of the batch adds to a step
 * @param cacheBlocks how many blocks of prompt prefixes an engine keeps
 * @param blockTokens the tokens of a block
 * @param linkBytesPerSecond the rate at which the engines of a failure domain exchange KV cache
 * @param reportIntervalMillis how often an engine reports its load
 * @param reportLagMillis how late a report arrives
 * @param cacheEventLagMillis how late a cache event arrives
 */
record EngineSpeeds(
    int prefillTokensPerSecond,
    int stepBaseMicros,
    int stepRequestMicros,
    int cacheBlocks,
    int blockTokens,
    long linkBytesPerSecond,
    int reportIntervalMillis,
    int reportLagMillis,
    int cacheEventLagMillis) {

  static EngineSpeeds standard() {
    return new EngineSpeeds(20_000, 18_000, 900, 200, 128, 3_125_000_000L, 250, 300, 500);
  }

  EngineSpeeds withReportLag(int lagMillis) {
    return new EngineSpeeds(
        prefillTokensPerSecond,
        stepBaseMicros,
        stepRequestMicros,
        cacheBlocks,
        blockTokens,
        linkBytesPerSecond,
        reportIntervalMillis,
        lagMillis,
        cacheEventLagMillis);
  }
}
