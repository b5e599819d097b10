package org.knapweedcleat.bench.pattern;

import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/** A simulated engine with limited memory that processes its prompts one after another. */
final class SimulatedEngine {

  private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;

  private final EndpointEntry entry;
  private final long memoryTokens;
  private long usedTokens;
  private double busyUntilMillis;
  private double slowFactor = 1;
  private boolean failed;

  SimulatedEngine(String id, EndpointStage stage, long memoryTokens) {
    this(id, stage, memoryTokens, FailureDomainId.of("a"));
  }

  SimulatedEngine(String id, EndpointStage stage, long memoryTokens, FailureDomainId domain) {
    this.entry =
        new EndpointEntry(
            EndpointId.of(id),
            0,
            ServiceId.of("notes"),
            "127.0.0.1",
            9000,
            domain,
            stage,
            64,
            false);
    this.memoryTokens = memoryTokens;
  }

  EndpointEntry entry() {
    return entry;
  }

  long memoryTokens() {
    return memoryTokens;
  }

  /** Queues a prompt and returns the time at which its prefill is complete. */
  double prefill(double nowMillis, long tokens) {
    double factor = entry.stage() == EndpointStage.PREFILL ? 1 : 2;
    busyUntilMillis =
        Math.max(busyUntilMillis, nowMillis)
            + tokens * PREFILL_MILLIS_PER_TOKEN * factor * slowFactor;
    return busyUntilMillis;
  }

  /** Reserves memory if enough is free and the engine has not failed. */
  boolean tryReserve(long tokens) {
    if (failed || usedTokens + tokens > memoryTokens) {
      return false;
    }
    usedTokens += tokens;
    return true;
  }

  void release(long tokens) {
    usedTokens -= tokens;
  }

  /** Sets how many times as long as others the engine takes for a prompt and for each step. */
  void slowDown(double factor) {
    slowFactor = factor;
  }

  double slowFactor() {
    return slowFactor;
  }

  void fail() {
    failed = true;
  }

  boolean isFailed() {
    return failed;
  }
}
