package org.knapweedcleat.router.caller;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.gate.InstanceClient;
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.gate.PlacementClient;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Fake implementation of the services of one instance, controlled by fields that tests set. */
final class FakeServices
    implements FleetSnapshotProvider, AccountRateLimiter, PlacementClient, InstanceClient {

  final AtomicLong balanceTokens = new AtomicLong(1_000_000);
  final List<PlacementProgress> reports = new CopyOnWriteArrayList<>();
  final List<PlacementRequest> placements = new CopyOnWriteArrayList<>();
  volatile Optional<FleetSnapshot> snapshot = Optional.empty();
  volatile long unconfirmedMillis;
  volatile Runnable beforeNextPlacement = () -> {};
  volatile Optional<IncarnationId> homeInstance = Optional.empty();
  volatile Function<PeerMessage, Uni<PeerMessage>> peerHandler;
  private volatile Optional<EndpointId> nextPrefill = Optional.empty();
  private volatile EndpointId nextDecode;
  private volatile Optional<EndpointId> nextPlain = Optional.empty();
  private volatile EndpointId prefill = EndpointId.of("prefill-1");
  private volatile EndpointId decode = EndpointId.of("decode-1");
  private volatile EndpointId plain = EndpointId.of("plain-1");

  /** Sets the endpoints for split requests. */
  void placeOn(String prefillEndpoint, String decodeEndpoint) {
    prefill = EndpointId.of(prefillEndpoint);
    decode = EndpointId.of(decodeEndpoint);
  }

  /** Sets the endpoint for plain calls. */
  void placeOn(String plainEndpoint) {
    plain = EndpointId.of(plainEndpoint);
  }

  /** Sets different endpoints for the next split request only. */
  void placeNextOn(String prefillEndpoint, String decodeEndpoint) {
    nextPrefill = Optional.of(EndpointId.of(prefillEndpoint));
    nextDecode = EndpointId.of(decodeEndpoint);
  }

  /** Sets a different endpoint for the next plain call only. */
  void placeNextOn(String plainEndpoint) {
    nextPlain = Optional.of(EndpointId.of(plainEndpoint));
  }

  @Override
  public Optional<FleetSnapshot> current() {
    return snapshot;
  }

  @Override
  public long unconfirmedMillis() {
    return unconfirmedMillis;
  }

  @Override
  public Uni<RateLimitDecision> acquire(AccountId account, long tokens) {
    if (balanceTokens.get() < tokens) {
      return Uni.createFrom().item(new RateLimitDecision.Denied(DenialReason.OVER_RATE, 1_500));
    }
    balanceTokens.addAndGet(-tokens);
    return Uni.createFrom().item(new RateLimitDecision.Granted(tokens));
  }

  @Override
  public void refund(AccountId account, long tokens) {
    balanceTokens.addAndGet(tokens);
  }

  @Override
  public Uni<PlacementDecision> place(PlacementRequest request) {
    placements.add(request);
    beforeNextPlacement.run();
    if (request.maxOutputTokens() == 0) {
      EndpointId endpoint = nextPlain.orElse(plain);
      nextPlain = Optional.empty();
      return Uni.createFrom()
          .item(new PlacementDecision.Plain(request.request(), request.attempt(), endpoint));
    }
    EndpointId prefillEndpoint = nextPrefill.orElse(prefill);
    EndpointId decodeEndpoint = nextPrefill.isPresent() ? nextDecode : decode;
    nextPrefill = Optional.empty();
    return Uni.createFrom()
        .item(
            new PlacementDecision.Split(
                request.request(), request.attempt(), prefillEndpoint, decodeEndpoint, 0));
  }

  @Override
  public void report(PlacementProgress progress) {
    reports.add(progress);
  }

  List<PlacementStage> stages() {
    return reports.stream().map(PlacementProgress::stage).toList();
  }

  @Override
  public Uni<PeerMessage> ask(IncarnationId target, PeerMessage request, long timeoutMillis) {
    return peerHandler == null
        ? Uni.createFrom().failure(new InstanceUnreachableException(target, false))
        : peerHandler.apply(request);
  }

  @Override
  public Optional<IncarnationId> homeOfKey(String key) {
    return homeInstance;
  }

  @Override
  public boolean isAlive(IncarnationId incarnation) {
    return peerHandler != null;
  }
}
