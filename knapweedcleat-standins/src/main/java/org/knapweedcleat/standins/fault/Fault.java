package org.knapweedcleat.standins.fault;

/**
 * An order to let calls fail.
 *
 * @param stage the last part of the calls' path, such as {@code prefill}; {@code *} for any
 * @param kind what goes wrong
 * @param times how many calls it meets, at least 1
 * @param millis how long delays last
 */
public record Fault(String stage, FaultKind kind, int times, long millis) {

  boolean meets(String calledStage) {
    return stage.equals("*") || stage.equals(calledStage);
  }

  Fault once() {
    return new Fault(stage, kind, times - 1, millis);
  }
}
