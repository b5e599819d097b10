package org.knapweedcleat.standins.engine;

import org.knapweedcleat.standins.fault.KeyValueOption;

/**
 * The capacity, speed and reporting delays of an engine stub.
 *
 * @param id the endpoint's id
 * @param host the IP address to listen on
 * @param port the port to listen on
 * @param pieces the memory size, in pieces of 1000 tokens
 * @param prefillTokensPerSecond the prefill throughput
 * @param baseGapMicros the time between tokens for a batch of one stream
 * @param gapPerStreamMicros the time that each further stream in the batch adds
 * @param maxBatch the most streams in a batch; the others wait, ordered by priority
 * @param evictMillis the time after which an unfetched prefill result is evicted
 * @param loadLagMillis the delay of load reports
 * @param cacheLagMillis the delay of cache events
 * @param cacheGapEvery the interval, in events, at which a cache event is dropped
 * @param prefixBlocks the prefix cache's capacity in blocks
 * @param kvBytesPerToken the scaled-down KV cache size per token
 * @param checksFencing whether orders with an old fencing number are rejected
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
    KeyValueOption options = KeyValueOption.parse(option);
    return new EngineSettings(
        options.string("id"),
        options.string("host"),
        options.integer("port"),
        options.integer("pieces", 20),
        options.integer("prefillTokensPerSecond", 20_000),
        options.integer("baseGapMicros", 10_000),
        options.integer("gapPerStreamMicros", 1_000),
        options.integer("maxBatch", 24),
        options.integer("evictMillis", 800),
        options.integer("loadLagMillis", 300),
        options.integer("cacheLagMillis", 200),
        options.integer("cacheGapEvery", 10),
        options.integer("prefixBlocks", 200),
        options.integer("kvBytesPerToken", 64),
        checksFencing);
  }
}
