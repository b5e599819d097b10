package org.knapweedcleat.router.forward.coordinator;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.membership.RendezvousHash;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessenger;

/**
 * Chooses coordinators among the live instances, by the same hash on every instance, and queries
 * them. A coordinator that does not reply is not queried again for a time.
 */
public final class CoordinatorClient {

  /**
   * How long a coordinator that did not reply is not queried; it takes as long until an instance is
   * no longer considered live.
   */
  private static final long UNRESPONSIVE_MILLIS = 2_000;

  private final FleetMember self;
  private final FleetMembership members;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final String unansweredEvent;
  private final long replyTimeoutMillis;
  private final Map<IncarnationId, Long> unresponsiveUntilMillis = new HashMap<>();
  private PeerMessenger transport;

  private CoordinatorClient(
      FleetMember self,
      FleetMembership members,
      LongSupplier clock,
      DecisionLog log,
      String unansweredEvent,
      long replyTimeoutMillis) {
    this.self = self;
    this.members = members;
    this.clock = clock;
    this.log = log;
    this.unansweredEvent = unansweredEvent;
    this.replyTimeoutMillis = replyTimeoutMillis;
  }

  /**
   * Returns a client without a transport.
   *
   * @param self this instance
   * @param members the other instances
   * @param clock supplies the monotonic time in milliseconds
   * @param log records coordinators that do not reply
   * @param unansweredEvent the event to log for them
   * @param replyTimeoutMillis how long to wait for a reply
   * @return the client
   */
  public static CoordinatorClient of(
      FleetMember self,
      FleetMembership members,
      LongSupplier clock,
      DecisionLog log,
      String unansweredEvent,
      long replyTimeoutMillis) {
    return new CoordinatorClient(self, members, clock, log, unansweredEvent, replyTimeoutMillis);
  }

  /**
   * Sets the transport for messages to other instances.
   *
   * @param peerTransport the transport
   */
  public void transport(PeerMessenger peerTransport) {
    transport = peerTransport;
  }

  /**
   * Lists the live instances, including this one, that meet a condition.
   *
   * @param condition the condition
   * @return the instances
   */
  public List<FleetMember> live(Predicate<FleetMember> condition) {
    List<FleetMember> live = new ArrayList<>(members.liveMembers(clock.getAsLong()));
    live.add(self);
    live.removeIf(condition.negate());
    return live;
  }

  /**
   * Chooses the coordinator for a key. Representatives of a large fleet, which already carry other
   * duties, are chosen only if there is no other candidate.
   *
   * @param key what is coordinated
   * @param candidates the instances to choose from
   * @return the coordinator, which may be this instance; empty if there is no candidate, or the
   *     coordinator is not to be queried now
   */
  public Optional<FleetMember> choose(String key, List<FleetMember> candidates) {
    long nowMillis = clock.getAsLong();
    List<FleetMember> remaining = new ArrayList<>(candidates);
    Optional<FleetMember> preferred = chooseByHash(key, remaining);
    Optional<FleetMember> chosen = preferred;
    while (!members.isSmall()
        && chosen.filter(one -> members.isRepresentative(nowMillis, one)).isPresent()) {
      remaining.remove(chosen.get());
      chosen = chooseByHash(key, remaining);
    }
    return chosen
        .or(() -> preferred)
        .filter(one -> unresponsiveUntilMillis.getOrDefault(one.incarnation(), 0L) <= nowMillis);
  }

  /**
   * Returns whether a coordinator is this instance.
   *
   * @param coordinator the coordinator
   * @return true if nothing has to be sent
   */
  public boolean isSelf(FleetMember coordinator) {
    return coordinator.incarnation().equals(self.incarnation());
  }

  /**
   * Queries another instance as coordinator.
   *
   * @param coordinator the coordinator
   * @param query the query
   * @param replyType the type of the reply
   * @param <T> the type of the reply
   * @return the reply; fails on a timeout
   */
  public <T extends PeerMessage> Uni<T> ask(
      FleetMember coordinator, PeerMessage query, Class<T> replyType) {
    return transport
        .request(PeerAddress.of(coordinator), coordinator.incarnation(), query, replyTimeoutMillis)
        .map(replyType::cast)
        .onFailure()
        .invoke(failure -> onUnanswered(coordinator, failure));
  }

  /**
   * Sends a notice to another instance as coordinator.
   *
   * @param coordinator the coordinator
   * @param notice the notice
   */
  public void send(FleetMember coordinator, PeerMessage notice) {
    transport.send(PeerAddress.of(coordinator), coordinator.incarnation(), notice);
  }

  /**
   * Removes an incarnation that has ended.
   *
   * @param ended the incarnation
   */
  public void forget(IncarnationId ended) {
    unresponsiveUntilMillis.remove(ended);
  }

  private static Optional<FleetMember> chooseByHash(String key, List<FleetMember> from) {
    return RendezvousHash.choose(key, from, member -> member.incarnation().instance().value());
  }

  private void onUnanswered(FleetMember coordinator, Throwable failure) {
    unresponsiveUntilMillis.put(coordinator.incarnation(), clock.getAsLong() + UNRESPONSIVE_MILLIS);
    log.stateChange(
        unansweredEvent, "keeper", coordinator.incarnation(), "why", failure.getMessage());
  }
}
