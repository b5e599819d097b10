package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.forward.RepeatBudget;
import org.knapweedcleat.core.forward.SlackShare;
import org.knapweedcleat.core.id.ServiceId;

/** The retry budgets of this instance, one per service. */
public final class ServiceRetryBudgets {

  private final ForwarderSettings.Bounds bounds;
  private final SlackShare slackShare;
  private final Map<ServiceId, RepeatBudget> budgets = new HashMap<>();
  private double slack;

  private ServiceRetryBudgets(ForwarderSettings.Bounds bounds, long startedAtMillis) {
    this.bounds = bounds;
    this.slackShare = SlackShare.of(startedAtMillis, bounds.repeatWindowMillis());
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
    slackShare.seen(nowMillis, known, unknownSeeds);
    slack = bounds.repeatSlack() * slackShare.part(nowMillis);
    budgets.values().forEach(budget -> budget.slack(slack));
  }

  /**
   * Learns the size of the fleet that another instance assumes.
   *
   * @param nowMillis the time
   * @param size the number of instances; 0 if unknown
   */
  public void learnFleetSize(long nowMillis, int size) {
    slackShare.told(nowMillis, size);
  }

  /**
   * Returns the size of the fleet by which the slack is divided.
   *
   * @return the number of instances; 0 while it is unknown
   */
  public int fleetSize() {
    return slackShare.size();
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
            RepeatBudget.of(
                bounds.repeatRatio() * RepeatBudget.USED_PART, bounds.repeatWindowMillis(), slack));
  }
}
