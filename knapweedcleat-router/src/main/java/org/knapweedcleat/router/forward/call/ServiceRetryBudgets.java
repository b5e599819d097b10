package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.forward.RepeatBudget;
import org.knapweedcleat.core.forward.SlackShare;
import org.knapweedcleat.core.id.ServiceId;

/** The repeats that this instance may send to each service. */
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
   * Returns budgets without slack, until the size of the fleet is known.
   *
   * @param bounds the fleet's bounds
   * @param startedAtMillis when the instance started
   * @return the budgets
   */
  public static ServiceRetryBudgets of(ForwarderSettings.Bounds bounds, long startedAtMillis) {
    return new ServiceRetryBudgets(bounds, startedAtMillis);
  }

  /**
   * Takes how much of the fleet is known, among which its slack is divided.
   *
   * @param nowMillis the time
   * @param known the instances that may live, the own one included
   * @param unknownSeeds the seeds of which nothing was heard yet
   */
  public void updateFleet(long nowMillis, int known, int unknownSeeds) {
    slackShare.seen(nowMillis, known, unknownSeeds);
    slack = bounds.repeatSlack() * slackShare.part(nowMillis);
    budgets.values().forEach(budget -> budget.slack(slack));
  }

  /**
   * Takes the size of the fleet that another instance goes by.
   *
   * @param nowMillis the time
   * @param size instances; 0 tells nothing
   */
  public void learnFleetSize(long nowMillis, int size) {
    slackShare.told(nowMillis, size);
  }

  /**
   * Returns the size of the fleet that the slack is divided by.
   *
   * @return instances; 0 while it cannot be known
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
