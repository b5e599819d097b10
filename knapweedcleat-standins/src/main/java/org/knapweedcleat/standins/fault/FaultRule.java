package org.knapweedcleat.standins.fault;

/**
 * A rule that injects a fault into matching calls.
 *
 * @param stage the last segment of the call's path, such as {@code prefill}; {@code *} matches any
 * @param kind the fault
 * @param times the number of calls to affect, at least 1
 * @param millis the delay, for faults that delay
 */
public record FaultRule(String stage, FaultKind kind, int times, long millis) {

  boolean matches(String calledStage) {
    return stage.equals("*") || stage.equals(calledStage);
  }

  FaultRule withTimesDecremented() {
    return new FaultRule(stage, kind, times - 1, millis);
  }
}
