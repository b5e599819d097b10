package org.knapweedcleat.core.startup;

import java.util.Optional;

/**
 * Decides whether the calls in flight of an instance that has just become ready are limited, and
 * among how many instances the endpoints are divided meanwhile.
 *
 * <p>After a power failure, all callers return while no instance knows the load of the endpoints.
 * The limit begins when the fleet is known to be large. It ends for good when the load is known, or
 * after {@link #MAX_MILLIS}.
 */
public final class StartupLimit {

  /** Upper bound for an instance that is cut off from all others. */
  public static final long MAX_MILLIS = 5_000;

  /**
   * The known fleet is complete if it has not grown for this time, the interval between messages in
   * a large fleet. Instances that know different parts of it ask different allocators.
   */
  private static final long STABLE_MILLIS = 400;

  /**
   * The load is usually known by then: representatives report on their failure domain once a
   * second.
   */
  private static final long EXPECTED_MILLIS = 1_500;

  private final long readyAtMillis;
  private State state = State.PENDING;
  private FleetKnowledge knowledge = new FleetKnowledge(false, 0, 0, 0, 0, false);
  private long lastGrowthMillis;

  private enum State {
    PENDING,
    LIMITED,
    OVER
  }

  /** A change of the limit. */
  public enum Change {
    /** The limit begins, since the load is not known. */
    BEGUN,
    /** The limit ends, since the load is known. */
    LOAD_KNOWN,
    /** The limit ends, although the load is not known. */
    TIME_OVER
  }

  private StartupLimit(long readyAtMillis) {
    this.readyAtMillis = readyAtMillis;
    this.lastGrowthMillis = readyAtMillis;
  }

  /**
   * Returns the limit of an instance that knows nothing of its fleet.
   *
   * @param readyAtMillis when the instance became ready
   * @return the limit, which is not in force yet
   */
  public static StartupLimit of(long readyAtMillis) {
    return new StartupLimit(readyAtMillis);
  }

  /**
   * Updates the limit.
   *
   * @param nowMillis the current time
   * @param newKnowledge what is known of the fleet
   * @return the change, or empty if the limit remains as it is
   */
  public Optional<Change> update(long nowMillis, FleetKnowledge newKnowledge) {
    if (state == State.OVER) {
      return Optional.empty();
    }
    if (newKnowledge.known() > knowledge.known()) {
      lastGrowthMillis = nowMillis;
    }
    knowledge = newKnowledge;
    if (nowMillis - readyAtMillis >= MAX_MILLIS) {
      return end(Change.TIME_OVER);
    }
    if (!knowledge.large()) {
      return Optional.empty();
    }
    if (knowledge.isSufficient() && nowMillis - lastGrowthMillis >= STABLE_MILLIS) {
      return end(Change.LOAD_KNOWN);
    }
    if (state == State.PENDING) {
      state = State.LIMITED;
      return Optional.of(Change.BEGUN);
    }
    return Optional.empty();
  }

  private Optional<Change> end(Change change) {
    boolean wasLimited = state == State.LIMITED;
    state = State.OVER;
    return wasLimited ? Optional.of(change) : Optional.empty();
  }

  /**
   * Returns whether calls in flight are limited.
   *
   * @return true between the begin and the end of the limit
   */
  public boolean isInForce() {
    return state == State.LIMITED;
  }

  /**
   * Returns whether the limit has ended or cannot begin any more.
   *
   * @return true if calls in flight need not be counted
   */
  public boolean isOver() {
    return state == State.OVER;
  }

  /**
   * Returns the number of instances among which the endpoints are divided.
   *
   * @return at least 1
   */
  public int sharers() {
    return knowledge.sharers();
  }

  /**
   * Returns when the limit is expected to end.
   *
   * @param nowMillis the current time
   * @return milliseconds from now; the longest possible time if it is overdue
   */
  public long expectedRemainingMillis(long nowMillis) {
    long elapsedMillis = nowMillis - readyAtMillis;
    long endMillis = elapsedMillis < EXPECTED_MILLIS ? EXPECTED_MILLIS : MAX_MILLIS;
    return Math.max(0, endMillis - elapsedMillis);
  }
}
