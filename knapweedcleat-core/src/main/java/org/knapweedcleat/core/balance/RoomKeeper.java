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
 * <p>Each placement is reserved in the {@link WorkBook} until its holder says that it has ended,
 * its holder ends, or its time is over. A prompt counts as read when its reader should be done with
 * it. Two keepers at once, or one that has just taken over, cost refused calls and no more: the
 * engines decide.
 */
public final class RoomKeeper {

  private final IncarnationId self;
  private final EndpointChooser chooser;
  private final WorkBook work;
  private final HealthBook health;
  private final Map<Holding, Reservation> reservations = new HashMap<>();
  private final PriorityQueue<Lapse> lapses = new PriorityQueue<>();

  private record Holding(IncarnationId holder, String requestId) {}

  private record Reservation(EndpointId endpoint, EndpointWork work) {}

  /** The end of a reading, or of a run whose holder does not tell of its end. */
  private record Lapse(long atMillis, Holding holding, Reservation reservation, boolean reading)
      implements Comparable<Lapse> {
    @Override
    public int compareTo(Lapse other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private RoomKeeper(
      IncarnationId self, EndpointChooser chooser, WorkBook work, HealthBook health) {
    this.self = self;
    this.chooser = chooser;
    this.work = work;
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
  public static RoomKeeper of(
      IncarnationId self, EndpointChooser chooser, WorkBook work, HealthBook health) {
    return new RoomKeeper(self, chooser, work, health);
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
      StreamNeed need) {
    lapse(nowMillis);
    Holding holding = new Holding(holder, requestId);
    release(holding);
    Optional<StreamPlacement> found =
        chooser.bestStream(nowMillis, candidates, tried, profile, need);
    if (holder.equals(self)) {
      return found;
    }
    found.ifPresent(
        placement -> {
          reserveReading(nowMillis, holding, placement, need);
          Reservation run =
              new Reservation(placement.decode().id(), new EndpointWork(1, 0, need.memoryTokens()));
          reservations.put(holding, run);
          work.reserve(run.endpoint(), run.work());
          lapses.add(new Lapse(nowMillis + remainingMillis, holding, run, false));
        });
    return found;
  }

  private void reserveReading(
      long nowMillis, Holding holding, StreamPlacement placement, StreamNeed need) {
    if (need.promptTokens() == 0) {
      return;
    }
    EndpointEntry reader = placement.prefill().orElse(placement.decode());
    Reservation reading = new Reservation(reader.id(), new EndpointWork(0, need.promptTokens(), 0));
    work.reserve(reading.endpoint(), reading.work());
    long untilMillis = nowMillis + (long) placement.firstEventMillis();
    lapses.add(new Lapse(untilMillis, holding, reading, true));
  }

  /**
   * Takes a holder's word that an engine failed a stream. An engine that has ended has the most
   * room by what is reserved there, so that all streams would go to it.
   *
   * @param nowMillis the time
   * @param engine the engine
   * @param fault how it failed
   */
  public void failed(long nowMillis, EndpointId engine, EngineFault fault) {
    fault.note(nowMillis, health.of(engine));
  }

  /**
   * Releases what a stream holds.
   *
   * @param holder the instance that carried the stream
   * @param requestId the stream's request
   */
  public void ended(IncarnationId holder, String requestId) {
    release(new Holding(holder, requestId));
  }

  /**
   * Releases all that an instance holds, because it has ended.
   *
   * @param holder the instance
   */
  public void ended(IncarnationId holder) {
    List<Holding> all = new ArrayList<>(reservations.keySet());
    all.stream().filter(one -> one.holder().equals(holder)).forEach(this::release);
  }

  private void release(Holding holding) {
    Reservation before = reservations.remove(holding);
    if (before != null) {
      work.release(before.endpoint(), before.work());
    }
  }

  private void lapse(long nowMillis) {
    while (!lapses.isEmpty() && lapses.peek().atMillis() <= nowMillis) {
      Lapse lapse = lapses.poll();
      if (lapse.reading()) {
        work.release(lapse.reservation().endpoint(), lapse.reservation().work());
      } else if (reservations.get(lapse.holding()) == lapse.reservation()) {
        release(lapse.holding());
      }
    }
  }
}
