package org.knapweedcleat.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Places the streams of all instances of a region, so that the room of its engines is known to one.
 *
 * <p>Each placement is reserved in the {@link WorkloadTracker} until its holder says that it has ended,
 * its holder ends, or its time is over. A prompt counts as read when its reader should be done with
 * it. Two keepers at once, or one that has just taken over, cost refused calls and no more: the
 * engines decide.
 */
public final class StreamCapacityAllocator {

  private final IncarnationId local;
  private final EndpointSelector selector;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final Map<ReservationKey, Reservation> reservations = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

  private record ReservationKey(IncarnationId holder, String requestId) {}

  private record Reservation(EndpointId endpoint, EndpointWorkload workload) {}

  /** The end of a reading, or of a run whose holder does not tell of its end. */
  private record Expiry(long atMillis, ReservationKey key, Reservation reservation, boolean prefill)
      implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private StreamCapacityAllocator(
      IncarnationId self, EndpointSelector chooser, WorkloadTracker work, EndpointHealthRegistry health) {
    this.local = self;
    this.selector = chooser;
    this.workload = work;
    this.health = health;
  }

  /**
   * Returns a keeper without reservations.
   *
   * @param self the own run, whose streams count by the work that it begins
   * @param chooser chooses among engines
   * @param work the work at each endpoint
   * @param health the health of each endpoint
   * @return the keeper
   */
  public static StreamCapacityAllocator of(
      IncarnationId self, EndpointSelector chooser, WorkloadTracker work, EndpointHealthRegistry health) {
    return new StreamCapacityAllocator(self, chooser, work, health);
  }

  /**
   * Places a stream and reserves its work; what the same holder had for the request is released.
   *
   * @param nowMillis the time
   * @param holder the instance that carries the stream
   * @param requestId the stream's request
   * @param remainingMillis how long the stream may last
   * @param candidates the engines that take work
   * @param tried the engines that have failed this request
   * @param profile what an engine holds
   * @param need what the request needs
   * @return the placement; empty if no engine that runs requests has room
   */
  public Optional<StreamPlacement> place(
      long nowMillis,
      IncarnationId holder,
      String requestId,
      long remainingMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements need) {
    expireReservations(nowMillis);
    ReservationKey holding = new ReservationKey(holder, requestId);
    releaseReservation(holding);
    Optional<StreamPlacement> found =
        selector.placeStreamOnBest(nowMillis, candidates, tried, profile, need);
    if (holder.equals(local)) {
      return found;
    }
    found.ifPresent(
        placement -> {
          reservePrefill(nowMillis, holding, placement, need);
          Reservation run =
              new Reservation(placement.decode().id(), new EndpointWorkload(1, 0, need.memoryTokens()));
          reservations.put(holding, run);
          workload.reserve(run.endpoint(), run.workload());
          expiries.add(new Expiry(nowMillis + remainingMillis, holding, run, false));
        });
    return found;
  }

  private void reservePrefill(
      long nowMillis, ReservationKey holding, StreamPlacement placement, StreamRequirements need) {
    if (need.promptTokens() == 0) {
      return;
    }
    EndpointEntry reader = placement.prefill().orElse(placement.decode());
    Reservation reading = new Reservation(reader.id(), new EndpointWorkload(0, need.promptTokens(), 0));
    workload.reserve(reading.endpoint(), reading.workload());
    long untilMillis = nowMillis + (long) placement.expectedFirstEventMillis();
    expiries.add(new Expiry(untilMillis, holding, reading, true));
  }

  /**
   * Takes a holder's word that an engine failed a stream. An engine that has ended has the most
   * room by what is reserved there, so that all streams would go to it.
   *
   * @param nowMillis the time
   * @param engine the engine
   * @param fault how it failed
   */
  public void recordFault(long nowMillis, EndpointId engine, EngineFault fault) {
    fault.updateHealth(nowMillis, health.get(engine));
  }

  /**
   * Releases what a stream holds.
   *
   * @param holder the instance that carried the stream
   * @param requestId the stream's request
   */
  public void release(IncarnationId holder, String requestId) {
    releaseReservation(new ReservationKey(holder, requestId));
  }

  /**
   * Releases all that an instance holds, because it has ended.
   *
   * @param holder the instance
   */
  public void release(IncarnationId holder) {
    List<ReservationKey> all = new ArrayList<>(reservations.keySet());
    all.stream().filter(one -> one.holder().equals(holder)).forEach(this::releaseReservation);
  }

  private void releaseReservation(ReservationKey holding) {
    Reservation before = reservations.remove(holding);
    if (before != null) {
      workload.release(before.endpoint(), before.workload());
    }
  }

  private void expireReservations(long nowMillis) {
    while (!expiries.isEmpty() && expiries.peek().atMillis() <= nowMillis) {
      Expiry lapse = expiries.poll();
      if (lapse.prefill()) {
        workload.release(lapse.reservation().endpoint(), lapse.reservation().workload());
      } else if (reservations.get(lapse.key()) == lapse.reservation()) {
        releaseReservation(lapse.key());
      }
    }
  }
}
