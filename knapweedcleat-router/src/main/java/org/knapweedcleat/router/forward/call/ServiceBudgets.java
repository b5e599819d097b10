package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.forward.RepeatBudget;
import org.knapweedcleat.core.id.ServiceId;

/** The repeats that this instance may send to each service. */
public final class ServiceBudgets {

  /** The part of the allowed repeats that is used; the rest covers calls that cross a window. */
  private static final double USED_PART = 0.8;

  private final ForwarderSettings.Bounds bounds;
  private final Map<ServiceId, RepeatBudget> budgets = new HashMap<>();
  private double slack;

  private ServiceBudgets(ForwarderSettings.Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Returns budgets without slack, until the size of the fleet is known.
   *
   * @param bounds the fleet's bounds
   * @return the budgets
   */
  public static ServiceBudgets of(ForwarderSettings.Bounds bounds) {
    return new ServiceBudgets(bounds);
  }

  /**
   * Sets the size of the fleet, among which its slack is divided.
   *
   * @param instances the instances that may live, at least 1
   */
  public void fleetSize(int instances) {
    slack = bounds.repeatSlack() * USED_PART / Math.max(1, instances);
    budgets.values().forEach(budget -> budget.slack(slack));
  }

  /**
   * Returns the budget of a service.
   *
   * @param service the service
   * @return its budget
   */
  public RepeatBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service,
        id ->
            RepeatBudget.of(bounds.repeatRatio() * USED_PART, bounds.repeatWindowMillis(), slack));
  }
}
