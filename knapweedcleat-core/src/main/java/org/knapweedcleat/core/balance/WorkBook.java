package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * The work at each endpoint: the own work exactly, that of other instances as last told.
 *
 * <p>An instance that places calls for others also reserves their work here. Since they tell of the
 * same work later, the larger of both counts.
 */
public final class WorkBook {

  private final long maxAgeMillis;
  private final Map<EndpointId, EndpointWork> own = new HashMap<>();
  private final Map<String, Told> told = new HashMap<>();
  private final Map<EndpointId, EndpointWork> others = new HashMap<>();
  private final Map<EndpointId, EndpointWork> reserved = new HashMap<>();
  private long oldestMillis = Long.MAX_VALUE;

  private record Told(long atMillis, Map<EndpointId, EndpointWork> work) {}

  private WorkBook(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  /**
   * Returns an empty book.
   *
   * @param maxAgeMillis how long counts what another instance told
   * @return the book
   */
  public static WorkBook of(long maxAgeMillis) {
    return new WorkBook(maxAgeMillis);
  }

  /**
   * Notes work that the own instance gives to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void begin(EndpointId endpoint, EndpointWork work) {
    own.merge(endpoint, work, EndpointWork::plus);
  }

  /**
   * Notes that own work has ended.
   *
   * @param endpoint the endpoint
   * @param work the work, as it was begun
   */
  public void end(EndpointId endpoint, EndpointWork work) {
    subtract(own, endpoint, work);
  }

  /**
   * Notes work that other instances were told to give to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void reserve(EndpointId endpoint, EndpointWork work) {
    reserved.merge(endpoint, work, EndpointWork::plus);
  }

  /**
   * Notes that reserved work has ended.
   *
   * @param endpoint the endpoint
   * @param work the work, as it was reserved
   */
  public void release(EndpointId endpoint, EndpointWork work) {
    subtract(reserved, endpoint, work);
  }

  /**
   * Takes what another instance tells of its work; it replaces what that instance told before.
   *
   * @param instance names the instance
   * @param nowMillis the time
   * @param work its work by endpoint
   */
  public void told(String instance, long nowMillis, Map<EndpointId, EndpointWork> work) {
    ended(instance);
    told.put(instance, new Told(nowMillis, Map.copyOf(work)));
    work.forEach((endpoint, one) -> others.merge(endpoint, one, EndpointWork::plus));
    oldestMillis = Math.min(oldestMillis, nowMillis);
  }

  /**
   * Forgets an instance.
   *
   * @param instance names the instance
   */
  public void ended(String instance) {
    Told before = told.remove(instance);
    if (before != null) {
      before.work().forEach((endpoint, one) -> subtract(others, endpoint, one));
    }
  }

  /**
   * Returns the own work.
   *
   * @return the work by endpoint
   */
  public Map<EndpointId, EndpointWork> own() {
    return Map.copyOf(own);
  }

  /**
   * Returns all work at an endpoint that is known.
   *
   * @param endpoint the endpoint
   * @param nowMillis the time
   * @return the own work and that of the other instances
   */
  public EndpointWork at(EndpointId endpoint, long nowMillis) {
    forgetOld(nowMillis);
    EndpointWork mine = own.getOrDefault(endpoint, EndpointWork.NONE);
    EndpointWork theirs = others.getOrDefault(endpoint, EndpointWork.NONE);
    return mine.plus(theirs.max(reserved.getOrDefault(endpoint, EndpointWork.NONE)));
  }

  private void forgetOld(long nowMillis) {
    if (nowMillis - oldestMillis <= maxAgeMillis) {
      return;
    }
    told.entrySet().stream()
        .filter(one -> nowMillis - one.getValue().atMillis() > maxAgeMillis)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::ended);
    oldestMillis = told.values().stream().mapToLong(Told::atMillis).min().orElse(Long.MAX_VALUE);
  }

  private static void subtract(
      Map<EndpointId, EndpointWork> from, EndpointId endpoint, EndpointWork work) {
    from.computeIfPresent(
        endpoint,
        (id, before) -> {
          EndpointWork left = before.minus(work);
          return left.equals(EndpointWork.NONE) ? null : left;
        });
  }
}
