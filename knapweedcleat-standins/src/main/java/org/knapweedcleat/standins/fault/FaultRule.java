package org.knapweedcleat.standins.fault;

/**
 * An order to let calls fail.
 *
 * @param stage the last part of the calls' path, such as {@code prefill}; {@code *} for any
 * @param kind what goes wrong
 * @param times how many calls it meets, at least 1
 * @param millis how long delays last
 */
public record FaultRule(String stage, FaultKind kind, int times, long millis) {

  boolean matches(String calledStage) {
    return stage.equals("*") || stage.equals(calledStage);
  }

  FaultRule withOneUseLess() {
    return new FaultRule(stage, kind, times - 1, millis);
  }
}
