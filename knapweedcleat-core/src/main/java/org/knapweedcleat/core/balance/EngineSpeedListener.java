package org.knapweedcleat.core.balance;

/** Is told about engines that become slow, or normal again. */
@FunctionalInterface
public interface EngineSpeedListener {

  /** Ignores all changes. */
  EngineSpeedListener NONE = change -> {};

  /**
   * Handles a change.
   *
   * @param change the engine and its new state
   */
  void onChange(SpeedChange change);
}
