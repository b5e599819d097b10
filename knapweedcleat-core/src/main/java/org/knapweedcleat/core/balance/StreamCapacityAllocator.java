package org.knapweedcleat.core.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Places the streams of all instances of a region, so that one instance knows the exact free
 * capacity of the region's engines.
 *
 * <p>Each placement is reserved in the {@link WorkloadTracker} until its holder releases it, its
 * holder ends, or it expires. Prompt tokens are released when their prefill is expected to be done.
 * If two allocators are active, or one has just taken over, some calls are refused by engines; no
 * engine is overcommitted, because engines enforce their own limits.
 */
public final class StreamCapacityAllocator {

  private final IncarnationId local;
  private final EndpointSelector selector;
  private final WorkloadTracker workload;
  private final EndpointHealthRegistry health;
  private final Function<IncarnationId, Optional<FailureDomainId>> domainOf;
  private final Map<ReservationKey, Reservation> reservations = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

  private record ReservationKey(IncarnationId holder, String requestId) {}

  private record Reservation(EndpointId endpoint, EndpointWorkload workload) {}

  /**
   * The time at which a prefill is done, or a reservation that its holder did not release expires.
   */
  private record Expiry(long atMillis, ReservationKey key, Reservation reservation, boolean prefill)
      implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private StreamCapacityAllocator(
      IncarnationId local,
      EndpointSelector selector,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      Function<IncarnationId, Optional<FailureDomainId>> domainOf) {
    this.local = local;
    this.selector = selector;
    this.workload = workload;
    this.health = health;
    this.domainOf = domainOf;
  }

  /**
   * Returns an allocator without reservations that does not know in which failure domains holders
   * are.
   *
   * @param local the local incarnation, whose streams are not reserved here because it tracks their
   *     workload itself
   * @param selector selects engines
   * @param workload the workload of each endpoint
   * @param health the health of each endpoint
   * @return the allocator
   */
  public static StreamCapacityAllocator of(
      IncarnationId local,
      EndpointSelector selector,
      WorkloadTracker workload,
      EndpointHealthRegistry health) {
    return of(local, selector, workload, health, holder -> Optional.empty());
  }

  /**
   * Returns an allocator without reservations.
   *
   * @param local the local incarnation, whose streams are not reserved here because it tracks their
   *     workload itself
   * @param selector selects engines
   * @param workload the workload of each endpoint
   * @param health the health of each endpoint
   * @param domainOf finds the failure domain of a holder, from which distances are measured if the
   *     selector keeps calls in their home domain
   * @return the allocator
   */
  public static StreamCapacityAllocator of(
      IncarnationId local,
      EndpointSelector selector,
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      Function<IncarnationId, Optional<FailureDomainId>> domainOf) {
    return new StreamCapacityAllocator(local, selector, workload, health, domainOf);
  }

  /**
   * Places a stream and reserves its workload. An earlier reservation for the same holder and
   * request is released.
   *
   * @param nowMillis the current time
   * @param holder the instance that serves the stream
   * @param requestId the id of the request
   * @param maxDurationMillis the longest time that the stream may last
   * @param candidates the engines that accept work
   * @param tried the engines that already failed this request
   * @param profile the capacity of each engine
   * @param requirements what the request needs
   * @return the placement, or empty if no engine that can run the request has capacity
   */
  public Optional<StreamPlacement> place(
      long nowMillis,
      IncarnationId holder,
      String requestId,
      long maxDurationMillis,
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
      EngineProfile profile,
      StreamRequirements requirements) {
    expireReservations(nowMillis);
    ReservationKey key = new ReservationKey(holder, requestId);
    releaseReservation(key);
    Optional<StreamPlacement> selected =
        selector
            .forHome(domainOf.apply(holder))
            .placeStreamOnBest(nowMillis, candidates, tried, profile, requirements);
    if (holder.equals(local)) {
      return selected;
    }
    selected.ifPresent(
        placement -> {
          reservePrefill(nowMillis, key, placement, requirements);
          Reservation decodeReservation =
              new Reservation(
                  placement.decode().id(), new EndpointWorkload(1, 0, requirements.memoryTokens()));
          reservations.put(key, decodeReservation);
          workload.reserve(decodeReservation.endpoint(), decodeReservation.workload());
          expiries.add(new Expiry(nowMillis + maxDurationMillis, key, decodeReservation, false));
        });
    return selected;
  }

  /**
   * Returns the engine that has the most free memory.
   *
   * @param nowMillis the current time
   * @param candidates the engines that accept work
   * @return the least filled of those that run requests, or empty if there is none
   */
  public Optional<EndpointId> leastFilled(long nowMillis, List<EndpointEntry> candidates) {
    return candidates.stream()
        .filter(entry -> entry.stage().runsRequests())
        .map(EndpointEntry::id)
        .filter(engine -> health.get(engine).acceptsCall(nowMillis))
        .min(Comparator.comparingLong(engine -> workload.total(engine, nowMillis).memoryTokens()));
  }

  /**
   * Returns the mean speed of engines, by which the wait for their capacity is expected.
   *
   * @param nowMillis the current time
   * @param engines the engines that run requests
   * @return the mean in multiples of the median engine; 1 if they are equal or nothing is known
   */
  public double meanSpeed(long nowMillis, List<EndpointEntry> engines) {
    return selector.meanSpeed(nowMillis, engines);
  }

  private void reservePrefill(
      long nowMillis,
      ReservationKey key,
      StreamPlacement placement,
      StreamRequirements requirements) {
    if (requirements.promptTokens() == 0) {
      return;
    }
    EndpointEntry engine = placement.prefill().orElse(placement.decode());
    Reservation reservation =
        new Reservation(engine.id(), new EndpointWorkload(0, requirements.promptTokens(), 0));
    workload.reserve(reservation.endpoint(), reservation.workload());
    long untilMillis = nowMillis + (long) placement.expectedFirstEventMillis();
    expiries.add(new Expiry(untilMillis, key, reservation, true));
  }

  /**
   * Records that an engine failed a stream, as reported by its holder. Without this, an engine that
   * has stopped would seem to have the most free capacity and attract all streams.
   *
   * @param nowMillis the current time
   * @param engine the engine
   * @param fault how it failed
   */
  public void recordFault(long nowMillis, EndpointId engine, EngineFault fault) {
    fault.updateHealth(nowMillis, health.get(engine));
  }

  /**
   * Releases the reservation of a stream.
   *
   * @param holder the instance that served the stream
   * @param requestId the id of the request
   */
  public void release(IncarnationId holder, String requestId) {
    releaseReservation(new ReservationKey(holder, requestId));
  }

  /**
   * Releases all reservations of an instance that has ended.
   *
   * @param holder the instance
   */
  public void release(IncarnationId holder) {
    List<ReservationKey> keys = new ArrayList<>(reservations.keySet());
    keys.stream().filter(key -> key.holder().equals(holder)).forEach(this::releaseReservation);
  }

  private void releaseReservation(ReservationKey key) {
    Reservation reservation = reservations.remove(key);
    if (reservation != null) {
      workload.release(reservation.endpoint(), reservation.workload());
    }
  }

  private void expireReservations(long nowMillis) {
    while (!expiries.isEmpty() && expiries.peek().atMillis() <= nowMillis) {
      Expiry expiry = expiries.poll();
      if (expiry.prefill()) {
        workload.release(expiry.reservation().endpoint(), expiry.reservation().workload());
      } else if (reservations.get(expiry.key()) == expiry.reservation()) {
        releaseReservation(expiry.key());
      }
    }
  }
}
