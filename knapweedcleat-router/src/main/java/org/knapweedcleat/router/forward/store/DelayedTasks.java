package org.knapweedcleat.router.forward.store;

/** Runs tasks after a delay. */
@FunctionalInterface
public interface DelayedTasks {

  /**
   * Schedules a task.
   *
   * @param delayMillis the delay, above 0
   * @param task the task
   */
  void schedule(long delayMillis, Runnable task);
}
