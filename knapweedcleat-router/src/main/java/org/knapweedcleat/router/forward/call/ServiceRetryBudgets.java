package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.forward.RetrySlackShare;
import org.knapweedcleat.core.forward.WindowedRetryBudget;
import org.knapweedcleat.core.id.ServiceId;

/** The retry budgets of this instance, one per service. */
public final class ServiceRetryBudgets {

  private final ForwarderSettings.Bounds bounds;
  private final RetrySlackShare slackShare;
  private final Map<ServiceId, WindowedRetryBudget> budgets = new HashMap<>();
  private double slack;

  private ServiceRetryBudgets(ForwarderSettings.Bounds bounds, long startedAtMillis) {
    this.bounds = bounds;
    this.slackShare = RetrySlackShare.of(startedAtMillis, bounds.repeatWindowMillis());
  }

  /**
   * Returns budgets that have no slack until the size of the fleet is known.
   *
   * @param bounds the fleet's bounds
   * @param startedAtMillis when the instance started
   * @return the budgets
   */
  public static ServiceRetryBudgets of(ForwarderSettings.Bounds bounds, long startedAtMillis) {
    return new ServiceRetryBudgets(bounds, startedAtMillis);
  }

  /**
   * Updates the known part of the fleet, by whose size the slack is divided.
   *
   * @param nowMillis the time
   * @param known the instances that may be alive, including this one
   * @param unknownSeeds the seeds that have not been heard from yet
   */
  public void updateFleet(long nowMillis, int known, int unknownSeeds) {
    slackShare.observe(nowMillis, known, unknownSeeds);
    slack = bounds.repeatSlack() * slackShare.fraction(nowMillis);
    budgets.values().forEach(budget -> budget.setSlack(slack));
  }

  /**
   * Learns the size of the fleet that another instance assumes.
   *
   * @param nowMillis the time
   * @param size the number of instances; 0 if unknown
   */
  public void learnFleetSize(long nowMillis, int size) {
    slackShare.observeReported(nowMillis, size);
  }

  /**
   * Returns the size of the fleet by which the slack is divided.
   *
   * @return the number of instances; 0 while it is unknown
   */
  public int fleetSize() {
    return slackShare.fleetSize();
  }

  /**
   * Returns the budget of a service.
   *
   * @param service the service
   * @return its budget
   */
  public WindowedRetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service,
        id ->
            WindowedRetryBudget.of(
                bounds.repeatRatio() * WindowedRetryBudget.USED_FRACTION,
                bounds.repeatWindowMillis(),
                slack));
  }
}
