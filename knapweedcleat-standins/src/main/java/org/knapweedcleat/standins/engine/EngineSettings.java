package org.knapweedcleat.standins.engine;

import org.knapweedcleat.standins.fault.KeyValueOption;

/**
 * What one engine is like.
 *
 * @param id its name
 * @param host its IP number
 * @param port its port
 * @param pieces its memory, in pieces of a thousand tokens
 * @param prefillTokensPerSecond how fast it prefills
 * @param baseGapMicros the time between tokens of a stream that runs alone
 * @param gapPerStreamMicros what each further stream adds
 * @param maxBatch how many streams run at once; further ones wait by priority
 * @param evictMillis how long a prefill's result waits to be fetched
 * @param loadLagMillis how old load reports are
 * @param cacheLagMillis how old cache events are
 * @param cacheGapEvery every how many cache events one is lost
 * @param prefixBlocks how many prefix blocks its cache holds
 * @param kvBytesPerToken the size of the KV cache, scaled down
 * @param checksFencing whether it refuses orders with an old fencing number
 */
record EngineSettings(
    String id,
    String host,
    int port,
    int pieces,
    int prefillTokensPerSecond,
    int baseGapMicros,
    int gapPerStreamMicros,
    int maxBatch,
    int evictMillis,
    int loadLagMillis,
    int cacheLagMillis,
    int cacheGapEvery,
    int prefixBlocks,
    int kvBytesPerToken,
    boolean checksFencing) {

  static EngineSettings parse(String option, boolean checksFencing) {
    KeyValueOption pairs = KeyValueOption.parse(option);
    return new EngineSettings(
        pairs.string("id"),
        pairs.string("host"),
        pairs.integer("port"),
        pairs.integer("pieces", 20),
        pairs.integer("prefillTokensPerSecond", 20_000),
        pairs.integer("baseGapMicros", 10_000),
        pairs.integer("gapPerStreamMicros", 1_000),
        pairs.integer("maxBatch", 24),
        pairs.integer("evictMillis", 800),
        pairs.integer("loadLagMillis", 300),
        pairs.integer("cacheLagMillis", 200),
        pairs.integer("cacheGapEvery", 10),
        pairs.integer("prefixBlocks", 200),
        pairs.integer("kvBytesPerToken", 64),
        checksFencing);
  }
}
